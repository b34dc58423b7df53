"""Formats the explanation of where a request would go."""


def format_lines(explanation):
    """Return the lines of an explanation as an entry sent it.

    Its fields are those of `route_explanation.Explanation`.
    """
    lines = [
        f"route {explanation['route'] or '-'}, "
        f"catalog version {explanation['catalog_version']}"
    ]
    if explanation["refused"]:
        lines.append(f"refused: {explanation['refused']}")
    regions = explanation["allowed_regions"]
    if regions is not None:
        lines.append(f"bound to regions: {', '.join(regions) or 'none left'}")
    for number, stage in enumerate(explanation["stages"]):
        lines.append(f"stage {number}, service {stage['service']}:")
        lines += [
            f"  {centre}: about {seconds:.2f} s"
            for centre, seconds in stage["seconds_by_data_centre"].items()
        ]
        lines += [
            f"  {centre}: nothing, {reason}"
            for centre, reason in stage["excluded_by_data_centre"].items()
        ]
    lines += [_format_server(server) for server in explanation["servers"]]
    return lines


def _format_server(server):
    mark = "->" if server["is_chosen"] else "  "
    text = f"{mark} {server['server']} ({server['data_centre']}): "
    if server["cost_ms"] is None:
        return f"{text}nothing, {server['excluded']}"
    text += (
        f"cost {server['cost_ms']:g} ms, wait {server['wait_ms']:g} ms, "
        f"delay of others {server['inflicted_ms']:g} ms, "
        f"{server['outstanding']} outstanding"
    )
    if server["permit_wait_ms"]:
        text += f", permit in {server['permit_wait_ms']:.0f} ms"
    states = [name for name in ("suspect", "warming") if server[f"is_{name}"]]
    return ", ".join([text, *states])
