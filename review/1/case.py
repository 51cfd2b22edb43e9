# flake8: noqa
"""A non-idempotent request runs; its answer's body does not end in time."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import harness
from harness import TROUBLE, Client, Deployment, Replica, request_headers

# 'endless': body bytes without end. 'silence': a sound replica falls silent
# for a moment in the middle of its answer and goes on.
MODE = os.environ.get('MODE', 'endless')
SILENCE_S = 1.2
# The longest work that the site's sheet has is 450 ms.
LONG_WORK_S = 0.4
REQUESTS = 12


class Troubled(Replica):
    """Runs a request soundly; the troubled answer's body doesn't end."""

    is_troubled = False

    async def run(self, request, writer, reader, known):
        if not self.is_troubled:
            return await super().run(request, writer, reader, known)
        known.append(('Response-Seal', f'seal-{self.name}'))
        if MODE == 'silence':
            await asyncio.sleep(LONG_WORK_S)
            known.append(('Content-Length', 800))
            writer.write(harness.encode_head(200, known) + b'x' * 100)
            await writer.drain()
            await asyncio.sleep(SILENCE_S)
            writer.write(b'x' * 700)
            return True
        await asyncio.sleep(self.work_s)
        known.append(('Transfer-Encoding', 'chunked'))
        writer.write(harness.encode_head(200, known))
        chunk = harness.encode_chunk(b'x' * 4096)
        while not writer.transport.is_closing():
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        return False


async def book(host, request_id, record):
    client = await Client.open(host.front)
    sent_at = time.monotonic()
    record(f'sent {request_id} POST /book/2f to {host.name}')
    answer = await asyncio.wait_for(client.ask(
        'POST', '/book/2f', request_headers(request_id, 3000), b'b' * 600,
    ), 6)
    client.close()
    record(
        f'answer to {request_id}: {answer.status} {answer.body[:40]!r} after'
        f' {time.monotonic() - sent_at:.3f} s'
    )
    return answer


async def play(folder, record):
    deployment = Deployment(folder, record, hosts=2)
    for number in range(3):
        deployment.add(Troubled(
            f'i-orders{number}', 'orders-app', deployment.store, record
        ))
    answers = {}
    async with deployment:
        await deployment.start_hosts()
        await asyncio.sleep(1)
        if TROUBLE:
            # One of three replicas is in trouble from now on.
            deployment.replicas['i-orders0'].is_troubled = True
            record('i-orders0 is in trouble')
        for number in range(REQUESTS):
            host = list(deployment.hosts.values())[number % 2]
            for attempt in range(2):
                request_id = f'{number:015x}{attempt}'
                answer = await book(host, request_id, record)
                answers[request_id] = answer.status
                if answer.status != 503:
                    break
                # 503 promises "not run", so the client asks again at once.
        runs = [
            request_id for replica in deployment.replicas.values()
            for _, request_id, _ in replica.runs
        ]
    false_refusals = [
        request_id for request_id, status in answers.items()
        if status in {408, 421, 429, 503} and request_id in runs
    ]
    booked = [request_id[:-1] for request_id in runs]
    twice = {one for one in booked if booked.count(one) > 1}
    served = sum(1 for status in answers.values() if status == 200)
    record.say(
        f'{len(answers)} requests, {served} served, {len(runs)} runs,'
        f' {len(false_refusals)} answered "not run" though they had run:'
        f' {", ".join(false_refusals)};'
        f' {len(twice)} orders booked twice after that'
    )
    if not TROUBLE and served < len(answers):
        raise harness.Unable('not all were served without the trouble')
    return harness.BROKEN if false_refusals else harness.HELD


if __name__ == '__main__':
    harness.main(HERE, play)
