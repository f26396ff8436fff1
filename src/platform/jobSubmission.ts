/** Decodes the JSON body of a job submission. */
import * as z from 'zod/mini'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { JobState } from '../jobs/jobModel.js'
import type { JobSpec, StepSpec } from '../jobs/jobModel.js'
import { defaultMaxTasksPerJob, describeExcess } from '../jobs/jobSize.js'

const maxPayloadBytes = 4_000

const count = z.int().check(z.nonnegative())
const stepSchema = z.object({
  count: z._default(z.int().check(z.minimum(1)), 1),
  cpu: z._default(count, 0),
  memMb: z._default(count, 0),
  gpu: z._default(count, 0),
  estimateMs: z._default(z.number(), 0),
  after: z._default(z.array(count), []),
  gang: z._default(z.boolean(), false),
  sameRack: z._default(z.boolean(), false),
  selector: z._default(z.string(), ''),
  affinity: z._default(z.string(), ''),
  antiAffinity: z._default(count, 0),
  speculative: z._default(z.boolean(), false),
  checkpoint: z._default(z.boolean(), false),
  serviceMode: z._default(z.boolean(), false),
  image: z._default(z.string(), ''),
  goalMs: z._default(z.number(), 0),
  fills: z._default(z.boolean(), false),
  mayMiss: z.optional(count)
})
const jobSchema = z.object({
  spec: z._default(z.string(), ''),
  phases: z.array(stepSchema).check(z.minLength(1)),
  times: z._default(count, 0),
  startAtMs: z._default(z.number(), 0),
  intervalMs: z._default(z.number(), 0)
})

/** The fields of a job that the request's path, queue and API key determine. */
export interface JobSource {
  readonly jobId: string
  readonly queue: string
  readonly service: string
  readonly configurationVersion?: number
  readonly organisation: string
  readonly attemptLimit: number
}

/** Decodes and validates a submission. Errors (`bad-request`) name the field, or the limit of the job's size and its value. */
export function decodeJob (text: string, source: JobSource, maxTasks = defaultMaxTasksPerJob): JobSpec {
  const parsed = jobSchema.safeParse(parse(text))
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    throw createError(ErrorKind.BadRequest, `the field "${issue?.path.join('.') ?? ''}" of the job: ${issue?.message ?? 'malformed'}`)
  }
  const { spec, phases, times, startAtMs, intervalMs } = parsed.data
  if (Buffer.byteLength(spec) > maxPayloadBytes) throw createError(ErrorKind.BadRequest, `the field "spec" of the job is longer than ${maxPayloadBytes} bytes`)
  phases.forEach((phase, step) => {
    if (phase.after.some(before => before >= step)) throw createError(ErrorKind.BadRequest, `the field "phases.${step}.after" of the job may name earlier steps only`)
  })
  const job: JobSpec = {
    ...source,
    payload: spec,
    steps: phases.map(toStep),
    ...(times > 0 ? { recurrence: { times, firstAtMs: startAtMs, intervalMs } } : {}),
    acceptedAtMs: Date.now()
  }
  const excess = describeExcess(job, maxTasks)
  if (excess !== undefined) throw createError(ErrorKind.BadRequest, excess)
  return job
}

function toStep (phase: z.infer<typeof stepSchema>): StepSpec {
  return {
    count: phase.count,
    // A fill step reserves no CPU of its own.
    request: { cpuMilli: phase.fills ? 0 : phase.cpu, memoryMb: phase.memMb, accelerators: phase.gpu },
    estimateMs: phase.estimateMs,
    after: phase.after,
    isGang: phase.gang,
    isSameRack: phase.sameRack,
    requiredLabel: phase.selector === '' ? undefined : phase.selector,
    dataRack: phase.affinity === '' ? undefined : phase.affinity,
    spreadLimit: phase.antiAffinity === 0 ? undefined : phase.antiAffinity,
    isSpeculative: phase.speculative,
    hasCheckpoints: phase.checkpoint,
    isService: phase.serviceMode,
    image: phase.image === '' ? undefined : phase.image,
    tailGoalMs: phase.goalMs === 0 ? undefined : phase.goalMs,
    isFill: phase.fills,
    allowedUnavailable: phase.mayMiss
  }
}

function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw createError(ErrorKind.BadRequest, `the job is not valid JSON: ${error instanceof Error ? error.message : String(error)}`)
  }
}

/** The job states as the job API spells them. */
export const jobStateNames: Readonly<Record<JobState, string>> = {
  [JobState.Queued]: 'queued',
  [JobState.Active]: 'active',
  [JobState.Complete]: 'complete',
  [JobState.Failed]: 'failed',
  [JobState.Cancelled]: 'canceled'
}
