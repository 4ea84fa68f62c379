"""Test that a function is called at once, and not too often."""

import asyncio

from sesamespring.gateway.coalesced_call import CoalescedCall

INTERVAL_S = 0.05


def test_first_call_is_made_at_once_and_later_ones_together():
    async def main():
        made_s = []
        loop = asyncio.get_running_loop()
        call = CoalescedCall(lambda: made_s.append(loop.time()), INTERVAL_S)
        for _ in range(10):
            call()
        assert len(made_s) == 1
        await asyncio.sleep(1.5 * INTERVAL_S)
        assert len(made_s) == 2
        assert made_s[1] - made_s[0] >= 0.9 * INTERVAL_S
        # No call is made that nobody has asked for.
        await asyncio.sleep(3 * INTERVAL_S)
        assert len(made_s) == 2
        call()
        assert len(made_s) == 3

    asyncio.run(main())


def test_call_that_is_due_is_dropped_at_the_end():
    async def main():
        made = []
        call = CoalescedCall(lambda: made.append(1), INTERVAL_S)
        call()
        call()
        call.close()
        await asyncio.sleep(2 * INTERVAL_S)
        assert len(made) == 1

    asyncio.run(main())
