/** Polls of workers through other hosts, when few hosts reach them. */
import { expect, test } from '@jest/globals'
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import { createRelayedPolls } from './relayedPolls.js'
import type { RelayedPolls } from './relayedPolls.js'

const report = { clockMs: 1, bornAtMs: 1, running: [], ended: [] }
const request = { epoch: 1 }

/** Creates the polls of a host with `hosts` peers. `call` polls a worker through the peer with this number. */
function createPolls (hosts: number, call: (peer: number, workerId: string) => Promise<unknown>): RelayedPolls {
  const peers = Array.from({ length: hosts }, (_, index) => ({ hostId: `host-${index}`, address: `host-${index}`, domain: 'a', hasFastLink: true }))
  return createRelayedPolls({
    getPeers: () => peers,
    connect: address => ({ call: async <T>(_method: string, parameters: unknown) => await call(Number(address.slice('host-'.length)), (parameters as { workerId: string }).workerId) as T })
  })
}

function toWorker (workerId: string): { readonly workerId: string, readonly address: string } {
  return { workerId, address: `${workerId}:1` }
}

// Polls of several workers in turn asked the same hosts for each of them again, and a host that reached a worker was never asked.
test.each([1, 3, 13, 40])('a worker that one host in 40 reaches is reached within 14 polls, beside those of %i workers', async workers => {
  const polls = createPolls(40, async peer => {
    if (peer === 27) return report
    throw createError(ErrorKind.AnswerLost, 'no answer')
  })
  const unreached = new Set(Array.from({ length: workers }, (_, index) => `worker-${index}`))
  for (let round = 0; round < 14; round++) {
    for (const workerId of unreached) await polls.poll(toWorker(workerId), request).then(() => { unreached.delete(workerId) }, () => {})
  }
  expect([...unreached]).toEqual([])
})

// Workers that are gone use up the polls that may be under way; the leases of those that other hosts reach then ended.
test('a worker that was reached is polled while many others do not answer', async () => {
  const polls = createPolls(10, async (_peer, workerId) => workerId === 'reached' ? report : await new Promise<never>(() => {}))
  await polls.poll(toWorker('reached'), request)
  for (let index = 0; index < 100; index++) void polls.poll(toWorker(`gone-${index}`), request).catch(() => {})
  expect(await polls.poll(toWorker('reached'), request)).toEqual(report)
})

// A poll that was turned away counted as one without an answer, and the next one competed with those of workers that are gone.
test.each([true, false])('a host that has reached a worker is asked for it again after a poll was turned away (here: %p)', async isHere => {
  const asked: number[] = []
  let isBusy = false
  const answers: Array<() => void> = []
  const polls = createPolls(40, async (peer, workerId) => {
    if (workerId !== 'worker-0') return await new Promise(resolve => { answers.push(() => { resolve(report) }) })
    asked.push(peer)
    if (peer !== 27) throw createError(ErrorKind.AnswerLost, 'no answer')
    if (isBusy) throw createError(ErrorKind.Overloaded, 'too many polls')
    return report
  })
  while (!asked.includes(27)) await polls.poll(toWorker('worker-0'), request).catch(() => {})
  if (isHere) {
    // Other workers that were reached take up all polls.
    const reached = Array.from({ length: 16 }, (_, index) => toWorker(`reached-${index}`))
    for (let round = 0; round < 2; round++) {
      for (const worker of reached) void polls.poll(worker, request)
      if (round === 0) while (answers.length > 0) answers.shift()?.()
      await new Promise(setImmediate)
    }
  } else {
    isBusy = true
  }
  const error: unknown = await polls.poll(toWorker('worker-0'), request).catch((reason: unknown) => reason)
  expect(isErrorOfKind(error, ErrorKind.Overloaded)).toBe(true)
  isBusy = false
  while (answers.length > 0) answers.shift()?.()
  await new Promise(setImmediate)
  asked.length = 0
  expect(await polls.poll(toWorker('worker-0'), request)).toEqual(report)
  expect(asked[0]).toBe(27)
})

// Guards against leases that end, and against ends that are read too late: the polls that wait take up all that may be under way.
test('polls that wait at workers do not hold up the others, and are turned away beyond their limit', async () => {
  const polls = createPolls(10, async (_peer, workerId) => workerId === 'prompt' ? report : await new Promise<never>(() => {}))
  for (let index = 0; index < 100; index++) void polls.poll(toWorker(`waiting-${index}`), { ...request, waitMs: 1_000 }).catch(() => {})
  const error: unknown = await polls.poll(toWorker('further'), { ...request, waitMs: 1_000 }).catch((reason: unknown) => reason)
  expect(isErrorOfKind(error, ErrorKind.Overloaded)).toBe(true)
  expect(await polls.poll(toWorker('prompt'), request)).toEqual(report)
})

// Guards against leases that end: a poll that waits and gets no answer sent the next poll that extends the lease through other hosts.
test('a host that has reached a worker is asked for it again although a poll that waits there got no answer', async () => {
  const asked: number[] = []
  let isLost = false
  const polls = createPolls(40, async peer => {
    asked.push(peer)
    if (peer !== 27 || isLost) throw createError(ErrorKind.AnswerLost, 'no answer')
    return report
  })
  while (!asked.includes(27)) await polls.poll(toWorker('worker-0'), request).catch(() => {})
  isLost = true
  await polls.poll(toWorker('worker-0'), { ...request, waitMs: 1_000 }).catch(() => {})
  isLost = false
  asked.length = 0
  expect(await polls.poll(toWorker('worker-0'), request)).toEqual(report)
  expect(asked[0]).toBe(27)
})

test('an answer that cannot be decoded counts as lost', async () => {
  const polls = createPolls(1, async () => ({ ...report, ended: [{ sequence: 'first' }] }))
  const error: unknown = await polls.poll(toWorker('worker-0'), request).catch((reason: unknown) => reason)
  expect(isErrorOfKind(error, ErrorKind.AnswerLost)).toBe(true)
})

test('without other hosts the poll fails', async () => {
  const error: unknown = await createPolls(0, async () => report).poll(toWorker('worker-0'), request).catch((reason: unknown) => reason)
  expect(isErrorOfKind(error, ErrorKind.PeerUnreachable)).toBe(true)
})
