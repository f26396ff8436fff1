/** The store key and the encoding of the backlog summary. */
import * as z from 'zod/mini'
import type { BacklogSummary, ServiceBacklog } from './backlogSummary.js'

/** The store key of the summary. */
export const backlogKey = 'counts/backlog'

/** Maximum size of the encoded summary, in bytes: many hosts read it once a second, some over a link of 7 Mbit/s. */
export const maxSummaryBytes = 4_096

/** Priorities of a service that are encoded; a job of a later one is judged by the last that is, which is never more than its own wait. */
const maxLevels = 16

const amount = z.number().check(z.nonnegative())
const levelSchema = z.tuple([z.number(), amount, amount, amount, amount])
const summarySchema = z.object({
  epoch: z.int().check(z.nonnegative()),
  atMs: amount,
  services: z.array(z.tuple([z.string(), amount, amount, z.array(levelSchema)])),
  urgent: z.array(z.tuple([z.string(), amount])),
  runMs: z.array(z.tuple([z.string(), amount]))
})

/**
 * Encodes a summary. One that is too large loses first the use of guarantees, then the services with the shortest waits. What is
 * missing leads to acceptance: an organisation without an entry counts as not using its guarantee, a service without one as having no
 * wait. The mean run times stay, as without them a job's objective could seem too short.
 */
export function encodeBacklog (summary: BacklogSummary): string {
  const { epoch, atMs, urgentAccelerators, meanRunMs } = summary
  const services = [...summary.services].sort((left, right) => getLongestWaitMs(right) - getLongestWaitMs(left)).map(toWire)
  const record = { epoch, atMs: Math.round(atMs), services, urgent: [...urgentAccelerators], runMs: [...meanRunMs] }
  if (isTooLarge(record)) record.urgent = []
  while (isTooLarge(record) && services.length > 0) services.pop()
  if (isTooLarge(record)) record.runMs = []
  return JSON.stringify(record)
}

/** Decodes a summary; undefined if it is malformed. */
export function tryDecodeBacklog (text: string): BacklogSummary | undefined {
  if (Buffer.byteLength(text) > maxSummaryBytes) return undefined
  const parsed = summarySchema.safeParse(tryParse(text))
  if (!parsed.success) return undefined
  const { epoch, atMs, services, urgent, runMs } = parsed.data
  return {
    epoch,
    atMs,
    services: services.map(([service, accelerators, cores, levels]) => ({
      service,
      accelerators,
      cores,
      levels: levels.map(([priority, acceleratorS, coreS, acceleratorWaitMs, coreWaitMs]) => ({ priority, acceleratorS, coreS, acceleratorWaitMs, coreWaitMs }))
    })),
    urgentAccelerators: new Map(urgent),
    meanRunMs: new Map(runMs)
  }
}

function toWire ({ service, accelerators, cores, levels }: ServiceBacklog): readonly unknown[] {
  return [
    service,
    Math.max(0, accelerators),
    Math.max(0, Math.round(cores)),
    levels.slice(0, maxLevels).map(level => [level.priority, Math.round(level.acceleratorS), Math.round(level.coreS), Math.round(level.acceleratorWaitMs), Math.round(level.coreWaitMs)])
  ]
}

function getLongestWaitMs ({ levels }: ServiceBacklog): number {
  return Math.max(0, ...levels.flatMap(({ acceleratorWaitMs, coreWaitMs }) => [acceleratorWaitMs, coreWaitMs]))
}

function isTooLarge (record: object): boolean {
  return Buffer.byteLength(JSON.stringify(record)) > maxSummaryBytes
}

function tryParse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
