/** Polls that a host sends for its peers: those that wait at a worker must not hold up the others. */
import { expect, test } from '@jest/globals'
import type { LeaseRenewal, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createPeerWorkerMethods, maxWaitingPolls, peerWorkerMethods } from './peerWorkerMethods.js'

const report = { clockMs: 1, bornAtMs: 1, running: [], ended: [] }

/** Polls that do not wait, and that a host serves at once. */
const maxConcurrentPolls = 16

/** Serves polls; those that wait, and those of workers that are gone, are never answered. Returns a function that sends one, and the requests that reached workers. */
function serve (): { readonly poll: (parameters: object) => Promise<unknown>, readonly sent: LeaseRenewal[] } {
  const sent: LeaseRenewal[] = []
  const renewLease = async (renewal: LeaseRenewal, isGone: boolean): Promise<WorkerStatusReport> => {
    sent.push(renewal)
    return renewal.waitMs > 0 || isGone ? await new Promise<never>(() => {}) : report
  }
  const methods = createPeerWorkerMethods({ connect: ({ workerId }) => ({ renewLease: async (renewal: LeaseRenewal) => await renewLease(renewal, workerId === 'gone'), close: () => {} }) as unknown as WorkerPort })
  const method = methods.find(({ name }) => name === peerWorkerMethods.poll)
  if (method === undefined) throw new Error('the method is served')
  return { poll: async parameters => await method.handle({ workerId: 'i-1', address: '127.0.0.1:1', epoch: 1, ...parameters }, { from: '', identity: '' }), sent }
}

// Guards against leases that end: polls that wait take up all that a host serves for its peers, or the connection of those that extend a lease.
test('a poll that extends a lease is answered while as many as permitted wait at workers', async () => {
  const { poll, sent } = serve()
  for (let index = 0; index < maxWaitingPolls; index++) poll({ waitMs: 1_000 }).catch(() => {})
  await expect(poll({ waitMs: 1_000 })).rejects.toMatchObject({ kind: 'overloaded' })
  for (let index = 1; index < maxConcurrentPolls; index++) poll({ workerId: 'gone' }).catch(() => {})
  expect(await poll({ lease: { untilMs: 5, incarnationMs: 1 } })).toEqual(report)
  expect(sent.filter(({ waitMs }) => waitMs === 0)).toHaveLength(maxConcurrentPolls)
  expect(sent.filter(({ waitMs }) => waitMs > 0).map(({ isConcurrent }) => isConcurrent)).toEqual(Array.from({ length: maxWaitingPolls }, () => true))
})

test('a poll that waits extends no lease and acknowledges nothing', async () => {
  const { poll, sent } = serve()
  void poll({ waitMs: 1_000, lease: { untilMs: 5, incarnationMs: 1 } })
  expect(sent.map(({ leaseUntilMs, acknowledgedSequence }) => ({ leaseUntilMs, acknowledgedSequence }))).toEqual([{ leaseUntilMs: undefined, acknowledgedSequence: 0 }])
})

test.each([-1, 0.5, 60_000])('a wait of %d ms is refused', async waitMs => {
  await expect(serve().poll({ waitMs })).rejects.toMatchObject({ kind: 'bad-request' })
})
