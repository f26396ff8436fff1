/** Decodes the worker entries in the platform's store. */
import * as z from 'zod/mini'
import { isAddress } from '../common/address.js'
import { tryParseJson } from '../common/boundedJson.js'
import type { ListedWorker } from '../workers/workerPort.js'

/** Key prefix of the worker entries. */
export const workerListPrefix = 'servers/'

/** Entries take about 400 characters and two levels; the rest allows for fields that are not known here. */
const entryBounds = { maxLength: 16_384, maxDepth: 8 }
/** The worker's id is sent in a header. */
const workerIdPattern = /^[\x21-\x7e]{1,200}$/
/** More than any machine has. */
const maxCapacity = { cpuMilli: 10_000_000, memoryMb: 1_000_000_000, accelerators: 1_000 }
/** Longer than any worker drains or warms up, in ms. */
const maxDurationMs = 1_000_000_000
/** The latest time that a date can hold, as Unix time in ms. */
const maxUnixMs = 8_640_000_000_000_000
const maxNameLength = 200
const maxLabels = 64

const nameSchema = z.string().check(z.maxLength(maxNameLength))
const createAmountSchema = (max: number) => z.optional(z.number().check(z.nonnegative(), z.maximum(max)))
const durationSchema = z.optional(z.number().check(z.minimum(-maxDurationMs), z.maximum(maxDurationMs)))
const entrySchema = z.object({
  service: nameSchema,
  addr: z.string().check(z.refine(isAddress)),
  zone: nameSchema,
  state: z.enum(['ready', 'draining']),
  capacity: z.object({
    cpu: createAmountSchema(maxCapacity.cpuMilli),
    memMb: createAmountSchema(maxCapacity.memoryMb),
    gpu: createAmountSchema(maxCapacity.accelerators)
  }),
  labels: z.array(nameSchema).check(z.maxLength(maxLabels)),
  born: z.int().check(z.nonnegative(), z.maximum(maxUnixMs)),
  machine: z.optional(nameSchema),
  remainingMs: durationSchema,
  coldLeftMs: durationSchema
})

/** Decodes an entry; undefined if no worker can have written it, since other writers may leave anything under the prefix. Never throws. */
export function tryDecodeWorker (key: string, value: string): ListedWorker | undefined {
  const workerId = key.slice(workerListPrefix.length)
  const entry = entrySchema.safeParse(tryParseJson(value, entryBounds))
  if (!entry.success || !workerIdPattern.test(workerId)) return undefined
  const { service, addr, zone, state, capacity, labels, born, machine, remainingMs, coldLeftMs } = entry.data
  return {
    workerId,
    address: addr,
    service,
    domain: zone,
    bornAtMs: born,
    isDraining: state === 'draining',
    remainingMs,
    coldLeftMs: coldLeftMs ?? 0,
    capacity: { cpuMilli: capacity.cpu ?? 0, memoryMb: capacity.memMb ?? 0, accelerators: capacity.gpu ?? 0 },
    labels,
    // The labels are the worker's type and its rack, in this order.
    rack: labels[1] ?? '',
    machineId: machine
  }
}
