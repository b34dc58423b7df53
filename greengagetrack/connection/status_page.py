"""The status page of a process, without any external resources."""

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>greengagetrack</title>
<style>
body{font-family:sans-serif;max-width:70em;margin:1.5em auto;padding:0 1em}
table{border-collapse:collapse;margin:.5em 0}
td,th{border:1px solid #ccc;padding:.2em .6em;text-align:left}
.bad{background:#fdd}
</style></head><body><h1 id="title">greengagetrack</h1>
<div id="parts"></div><script>
const parts = ["status", "table", "attainment", "limits", "members",
  "decisions"];
function cell(tag, value) {
  const element = document.createElement(tag);
  element.textContent = typeof value === "object" && value !== null ?
    JSON.stringify(value) : String(value);
  return element;
}
function row(tag, values) {
  const element = document.createElement("tr");
  values.forEach(value => element.append(cell(tag, value)));
  return element;
}
function draw(data) {
  const table = document.createElement("table");
  if (!Array.isArray(data)) {
    Object.entries(data).forEach(pair => table.append(row("td", pair)));
    return table;
  }
  const names = [...new Set(data.flatMap(item => Object.keys(item)))];
  table.append(row("th", names));
  data.slice(-40).forEach(item => {
    const line = row("td", names.map(name => item[name] ?? ""));
    if (item.is_available === false) line.className = "bad";
    table.append(line);
  });
  return table;
}
async function show() {
  const target = document.getElementById("parts");
  const drawn = [];
  for (const part of parts) {
    const answer = await fetch("/admin/v1/" + part);
    if (!answer.ok) continue;
    const data = await answer.json();
    if (part === "status") {
      document.getElementById("title").textContent =
        data.role + " " + data.name;
    }
    drawn.push(cell("h2", part), draw(data));
  }
  target.replaceChildren(...drawn);
}
show();
setInterval(show, 2000);
</script></body></html>
"""
