/** Small subtasks of one guaranteed tenant lie on every worker, and another tenant asks for whole workers within its guarantee. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { bounds, delay, hasTrouble, runCase, waitForStart } from '../platform-3/play.mjs'

/** A start counts as late only if it comes this long after the bound, for the way to the worker. */
const marginMs = 500
const watchedMs = 25_000
const patientId = '1a2b3c4d5e6f7081'
const smallId = '2b3c4d5e6f708192'
const urgentId = '6d1f8b32ea5c4709'

await runCase(dirname(fileURLToPath(import.meta.url)), { hosts: 3, workers: 8 }, async (system, record) => {
  const { hosts, events } = system
  await waitForStart(system, { guaranteed: 16, guaranteedB: 8 })
  const size = { cpu: 4_000, memMb: 16_000 }
  // Each of the 8 workers has 8 GPUs: patient work of a tenant without a guarantee leaves one of each idle.
  await system.submit('/patient/', patientId, { spec: 'log', phases: [{ ...size, count: 8, gpu: 7, estimateMs: 80_000 }] }, [{ ms: 80_000 }], { key: 'key-c' })
  await system.waitUntil(() => system.countRunning() === 8, 10_000, 'the patient job runs')
  await delay(2_000)
  if (hasTrouble) {
    await system.submit('/urgent/', smallId, { spec: 'book', phases: [{ ...size, count: 8, gpu: 1, estimateMs: 60_000 }] }, [{ ms: 60_000 }], { key: 'key-b' })
    await system.waitUntil(() => system.countRunning() === 16, 10_000, 'the small subtasks run')
  }
  await delay(5_000)
  const accepted = await system.submit('/urgent/', urgentId, { spec: 'book', phases: [{ ...size, count: 2, gpu: 8, estimateMs: 2_500 }] }, [{ ms: 2_500 }], { key: 'key-a' })
  const findStarts = () => events.filter(({ kind, task }) => kind === 'start' && task.startsWith(urgentId))
  await system.waitUntil(() => findStarts().length >= 2, watchedMs)
  const starts = findStarts()
  const { body } = await system.call(hosts[0], 'GET', `/urgent/${urgentId}`, { key: 'key-a' })
  const latestMs = starts.length < 2 ? Infinity : Math.max(...starts.map(({ atMs }) => atMs)) - accepted.atMs
  record('subtasks begun:', starts.length, 'of 2; the last after', starts.length < 2 ? '-' : Math.round(latestMs), 'ms; state:', body?.state)
  if (latestMs <= bounds.reclaimMs + marginMs) return undefined
  return `RECLAIM: ${starts.length} of 2 subtasks had begun ${Math.round(performance.now() - accepted.atMs)} ms after the acknowledgement, the bound is ${bounds.reclaimMs} ms; the tenant has 16 GPUs guaranteed and needs 16; the job is shown as ${body?.state}`
})
