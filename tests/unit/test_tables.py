"""A table updater follows what the configuration service publishes."""

import trio
import trio.testing

from bench import deployment as deployment_module
from bench.standins import platform as platform_module
from greengagetrack.process import tables
from greengagetrack.process import vm_view as vm_view_module
from greengagetrack.version import folder

LIMIT_S = 5.0


def test_new_manifest_with_revision_of_old_one_is_applied():
    folder_name = deployment_module.KITAMURA.get_table_folder()
    texts = folder.read_folder(folder_name)

    async def run():
        platform = platform_module.Platform()
        platform.publish(2, texts)
        view = vm_view_module.new_vm_view(
            platform_module.VmListFake(platform), 1.0, 1
        )
        updater = tables.new_table_updater(
            "e",
            "d",
            platform_module.ConfigFake(platform),
            view,
            None,
            is_partial=False,
            seed=1,
        )
        updater.disable_threads()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(updater.watch_config)
            await trio.sleep(1)
            assert updater.get_version() == 2
            # The service is reset: its revisions start from one again, and it
            # gives the manifest of version 3 the same revision as before.
            platform.published_by_key.clear()
            platform.revision = 0
            platform.publish(3, texts)
            assert platform.get("manifest").revision == updater.revision
            await trio.sleep(LIMIT_S)
            assert updater.get_version() == 3
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
