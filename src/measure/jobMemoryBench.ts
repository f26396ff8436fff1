/**
 * `npm run measure:job-memory`: the heap that one job takes in the scheduler, for each of its tasks, by their number. The limits in jobs/jobSize.ts follow from
 * these figures.
 */
import { delay } from '../common/time.js'
import { createTrackedJob, encodeProgress } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import type { Resources } from '../jobs/jobModel.js'
import { harnessConfiguration, makeJob, makeStep } from '../testing/poolHarness.js'
import { createPlannerHarness } from '../testing/plannerHarness.js'
import type { PlannerHarness } from '../testing/plannerHarness.js'

interface WaitingFigures {
  /** Heap of a task that waits, in bytes. */
  readonly waitingBytes: number
  /** What a planning pass allocates for it, in bytes, as far as nothing is collected during the pass; free again after the pass. */
  readonly passBytes: number
  readonly passMs: number
}

interface StartedFigures {
  /** Heap of a task that has been started, in bytes. */
  readonly startedBytes: number
  /** Its share of the progress record, in bytes. */
  readonly recordBytes: number
}

const taskCounts = [10_000, 25_000, 50_000, 100_000]
const checkpoint = '00000bb87a21d94b'
/** More than any worker has, so that no task starts. */
const withoutRoom: Resources = { cpuMilli: 1_000_000, memoryMb: 0, accelerators: 0 }
const withRoom: Resources = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }

// What loads on the first use must not count.
await measure(100)
for (const tasks of taskCounts) console.log(JSON.stringify({ tasks, ...await measure(tasks) }))

async function measure (tasks: number): Promise<WaitingFigures & StartedFigures> {
  const waiting = measureWaiting(tasks)
  // Otherwise the stack may keep the first job until the second has been measured.
  await delay(10)
  return { ...waiting, ...measureStarted(tasks) }
}

function measureWaiting (tasks: number): WaitingFigures {
  const harness = createHarness()
  const emptyBytes = getHeapBytes()
  harness.jobs.push(createJob(tasks, withoutRoom))
  const waitingBytes = getHeapBytes() - emptyBytes
  harness.plan()
  const beforePassBytes = getHeapBytes()
  const startedAtMs = performance.now()
  harness.plan()
  const passMs = Math.round(performance.now() - startedAtMs)
  const passBytes = process.memoryUsage().heapUsed - beforePassBytes
  return { waitingBytes: Math.round(waitingBytes / tasks), passBytes: Math.round(passBytes / tasks), passMs }
}

function measureStarted (tasks: number): StartedFigures {
  const harness = createHarness()
  const emptyBytes = getHeapBytes()
  const job = createJob(tasks, withRoom)
  harness.jobs.push(job)
  harness.plan()
  const startedBytes = getHeapBytes() - emptyBytes
  for (const { unit } of harness.started) unit.checkpoint = checkpoint
  return { startedBytes: Math.round(startedBytes / tasks), recordBytes: Math.round(encodeProgress(job, performance.now()).length / tasks) }
}

function createHarness (): PlannerHarness {
  return createPlannerHarness({ workers: 378, workersPerRack: 16, configuration: harnessConfiguration })
}

function createJob (tasks: number, request: Resources): TrackedJob {
  return createTrackedJob(makeJob('measured', 'batch', [makeStep({ count: tasks, request })]), performance.now())
}

/** The heap in use after a full collection. */
function getHeapBytes (): number {
  for (let collection = 0; collection < 3; collection++) globalThis.gc?.()
  return process.memoryUsage().heapUsed
}
