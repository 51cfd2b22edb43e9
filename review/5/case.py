# flake8: noqa
"""A replica sends small chunks without end in a stream that isn't resumable."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import endless
import harness

if __name__ == '__main__':
    faulty = endless.Faulty('quote', timeout_s=4.0, chunk_bytes=1, rate=6_000_000)
    harness.main(HERE, endless.make_play(faulty))
