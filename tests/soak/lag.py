"""Measures how late the event loop of a play runs, and repeats plays that were too late to decide."""

import asyncio
import time

# Period of the measurements.
PERIOD_S = 0.01
# Void plays in a row after which a run fails, and the distance of the seeds that they use.
VOID_MAX = 4
SEED_STEP = 1000


class Lag:
    """Measurements of how late the event loop was."""

    def __init__(self):
        self.samples = [0.0]

    async def measure(self):
        """Measures until it is cancelled."""
        while True:
            due = time.monotonic() + PERIOD_S
            await asyncio.sleep(PERIOD_S)
            self.samples.append(time.monotonic() - due)

    def mostly_s(self):
        """Returns the lateness that 99 in 100 measurements do not exceed."""
        return sorted(self.samples)[len(self.samples) * 99 // 100]

    def most_s(self):
        return max(self.samples)


def play_until_decided(play, seed):
    """Plays with other seeds as long as plays are void, and says so.

    play: a function of a seed that returns whether the play counts, its lateness in
    seconds, and a result. Returns the result of the first play that counts and the
    number of void ones before it; the result is None if there were too many of those.
    """
    for count in range(VOID_MAX):
        counts, lateness_s, result = play(seed + count * SEED_STEP)
        if counts:
            return result, count
        print(f"  void: seed {seed + count * SEED_STEP}, this process was late by {lateness_s * 1000:.0f} ms",
              flush=True)
    return None, VOID_MAX
