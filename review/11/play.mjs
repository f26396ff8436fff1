/** A requester cancels a job that a suspended machine has not answered. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bounds, delay, hasTrouble, runCase, waitForStart } from '../platform-3/play.mjs'

const freezeMs = 5_000
/** A start counts if it comes this long after the bound, for the way to the worker. */
const marginMs = 500
const id = '5c0e7a21d94b36f8'
const job = { spec: 'refund', phases: [{ count: 4, cpu: 1_000, memMb: 1_000, gpu: 1, estimateMs: 2_000 }, { count: 2, cpu: 1_000, memMb: 1_000, gpu: 1, estimateMs: 2_000, after: [0] }] }

function isAcknowledged ({ status }) {
  return status === 410 || (status >= 200 && status < 300)
}

await runCase(dirname(fileURLToPath(import.meta.url)), { hosts: 7, workers: 8 }, async (system, record) => {
  await waitForStart(system)
  const scheduler = system.getScheduler()
  // The machine that schedules, and the one that takes the cancel, are not disturbed.
  const [frozen, other] = system.hosts.filter(host => host !== scheduler)
  record('schedules:', scheduler.name)
  system.jobs.set(id, { runs: [{ ms: 2_000 }, { ms: 2_000 }] })
  const frozenAtMs = performance.now()
  if (hasTrouble) {
    record('suspended for', freezeMs, 'ms:', frozen.name)
    frozen.freeze()
  }
  const sent = await system.call(frozen, 'POST', `/batch/${id}`, { body: job })
  // The requester has had no answer, closes its channel and cancels.
  let cancelled = await system.call(other, 'DELETE', `/batch/${id}`)
  for (let tries = 1; tries < 4 && !isAcknowledged(cancelled); tries++) {
    await delay(300)
    cancelled = await system.call(other, 'DELETE', `/batch/${id}`)
  }
  if (hasTrouble) {
    if (sent.status !== undefined) throw new Error('the suspended machine answered')
    await delay(freezeMs - (performance.now() - frozenAtMs))
    record('goes on:', frozen.name)
    frozen.thaw()
  }
  if (!isAcknowledged(cancelled)) throw new Error('the cancel was not acknowledged')
  await delay(12_000)
  const state = await system.call(other, 'GET', `/batch/${id}`)
  const late = system.events.filter(({ kind, task, atMs }) => kind === 'start' && task.startsWith(id) && atMs > cancelled.atMs + bounds.cancel_ms + marginMs)
  record('starts later than cancel_ms after the acknowledgement:', late.map(({ task, atMs }) => `${task} after ${Math.round(atMs - cancelled.atMs)} ms`))
  if (late.length === 0) return undefined
  return `UNASKED: the cancel was answered ${cancelled.status}; ${late.length} subtasks started later than ${bounds.cancel_ms} ms after that, the last ${Math.round(Math.max(...late.map(({ atMs }) => atMs)) - cancelled.atMs)} ms after it; the job is shown as ${state.body?.state}`
})
