/** Decodes the worker entries in the platform's store. */
import * as z from 'zod/mini'
import type { ListedWorker } from '../workers/workerPort.js'

/** Key prefix of the worker entries. */
export const workerListPrefix = 'servers/'

const resourcesSchema = z.object({ cpu: z.optional(z.number()), memMb: z.optional(z.number()), gpu: z.optional(z.number()) })
const entrySchema = z.object({
  service: z.string(),
  addr: z.string().check(z.regex(/^[^\s:]+:\d{1,5}$/)),
  zone: z.string(),
  state: z.enum(['ready', 'draining']),
  capacity: resourcesSchema,
  labels: z.array(z.string()),
  born: z.int(),
  machine: z.optional(z.string()),
  remainingMs: z.optional(z.number()),
  coldLeftMs: z.optional(z.number())
})

/** Decodes an entry; undefined if it is malformed, since other writers may leave anything under the prefix. */
export function tryDecodeWorker (key: string, value: string): ListedWorker | undefined {
  const entry = entrySchema.safeParse(tryParseJson(value))
  if (!entry.success) return undefined
  const { service, addr, zone, state, capacity, labels, born, machine, remainingMs, coldLeftMs } = entry.data
  return {
    workerId: key.slice(workerListPrefix.length),
    address: addr,
    service,
    domain: zone,
    bornAtMs: born,
    isDraining: state === 'draining',
    remainingMs,
    coldLeftMs,
    capacity: { cpuMilli: capacity.cpu ?? 0, memoryMb: capacity.memMb ?? 0, accelerators: capacity.gpu ?? 0 },
    labels,
    // The labels are the worker's type and its rack, in this order.
    rack: labels[1] ?? '',
    machineId: machine
  }
}

/** Parses JSON; undefined if the text is not valid JSON. */
export function tryParseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
