# flake8: noqa
"""A replica sends an event without end in a resumable stream."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import endless
import harness

if __name__ == '__main__':
    faulty = endless.Faulty('recon', timeout_s=6.0, chunk_bytes=256, rate=4_000_000)
    harness.main(HERE, endless.make_play(faulty))
