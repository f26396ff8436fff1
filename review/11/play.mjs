/** Workers crash, one at a time, under a job none of whose runs fails. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { delay, hasTrouble, runCase, waitForStart } from '../platform-3/play.mjs'

const maxCrashes = 3
/** Within a run of 8 s, as the site's longest kind of request has on average. */
const crashAfterMs = 2_000
const downMs = 3_500
const id = '5c0e7a21d94b36f8'
const job = { spec: 'plan', phases: [{ count: 1, cpu: 26_000, memMb: 75_000, gpu: 2, estimateMs: 8_500 }] }

await runCase(dirname(fileURLToPath(import.meta.url)), { hosts: 3, workers: 8 }, async (system, record) => {
  const { hosts, workers, events } = system
  await waitForStart(system)
  await system.submit('/batch/', id, job, [{ ms: 8_500 }])
  const getWorker = () => workers.find(worker => worker.getTasks().some(task => task.startsWith(id)))
  let crashes = 0
  let state
  const sinceMs = performance.now()
  while (performance.now() - sinceMs < 90_000) {
    const worker = getWorker()
    if (hasTrouble && worker !== undefined && crashes < maxCrashes) {
      await delay(crashAfterMs)
      crashes++
      record('crashes, 1 of 8 workers:', worker.id)
      worker.crash()
      await delay(downMs)
      record('starts again:', worker.id)
      await worker.start()
    }
    state = (await system.call(hosts[0], 'GET', `/batch/${id}`)).body?.state
    if (state === 'complete' || state === 'failed' || state === 'canceled') break
    await delay(500)
  }
  const failedEnds = events.filter(({ kind, how }) => kind === 'end' && how === 'failed').length
  record('crashes:', crashes, 'ends failed:', failedEnds, 'state:', state)
  if (state === 'failed' && failedEnds === 0) return `LOST: the job is shown as failed after ${crashes} crashes of workers; none of its runs has ended failed, and it has 3 attempts`
  if (state !== 'complete') return `LOST: the job is shown as ${state}`
  return undefined
})
