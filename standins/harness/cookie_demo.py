#!/usr/bin/env python3
"""Cookie steering on stand-ins: requests go on while an upstream drains, an instance leaves, one is killed and the store is away.

Usage: cookie_demo.py BUILD_FOLDER. Exit code 0 only when every request was served and nothing was cut or misdelivered.
"""

import asyncio
import signal
import sys

from cookie_stage import CookieStage


async def main():
    stage = CookieStage(sys.argv[1])
    await stage.start()
    await asyncio.sleep(1.5)
    print("draining one upstream of subscriptions")
    await stage.upstreams[0].announce("draining")
    await asyncio.sleep(1.5)
    leaver, victim = stage.instances[1], stage.instances[2]
    print(f"stopping {leaver['name']} by SIGTERM and starting it again")
    leaver["process"].send_signal(signal.SIGTERM)
    while leaver["process"].poll() is None:
        await asyncio.sleep(0.05)
    stage.start_instance(leaver)
    await asyncio.sleep(1.5)
    print(f"the store falls silent; {victim['name']} is killed and learns from its peers")
    stage.store.mode = "silent"
    victim["process"].kill()
    victim["process"].wait()
    stage.start_instance(victim)
    await asyncio.sleep(2)
    stage.store.mode = "normal"
    await stage.stop()
    print(stage.summary())
    return 0 if stage.is_clean(1.0) and victim["ready"] else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
