/** Judges which ends a host could have read before they were lost with their worker, whichever host it is and by whatever request. Source of the bound: the target. */
import type { LossyRequest } from '../standins/poolWorker.js'
import { EndKind } from '../jobs/jobModel.js'
import type { PoolHarness } from './poolHarness.js'

interface RunOnWorker {
  readonly task: string
  readonly run: number
  readonly workerId: string
}

/** The ends of one play. */
export interface ReadableEnds {
  /** Descriptions of starts of tasks that had ended, where every end of the task or its gang could have been read. */
  readonly lost: readonly string[]
  noteEnd (end: RunOnWorker & { readonly how: string }): void
  /** Notes that a report to the elected host lists the end. */
  noteRead (end: Pick<RunOnWorker, 'task' | 'run'>): void
  noteRequest (request: LossyRequest): void
  /** Notes that the ends that a worker lists are gone. */
  noteLoss (workerId: string): void
  /** Notes a start; `members` are the tasks that have to run again together. */
  noteStart (start: RunOnWorker, members: readonly string[]): void
  /** Looks at the hosts. To be called every few ms. */
  look (): void
}

interface ListedEnd extends RunOnWorker {
  readonly atMs: number
  /** Since when each host could have read the end, by host. */
  readonly sinceMs: Map<string, number>
  isRead: boolean
  /** When some host had had the time to read it. */
  readableAtMs: number | undefined
  goneAtMs: number | undefined
  /** All requests that would have shown it were lost. */
  isHidden: boolean
}

/** A host that runs and has a way to the worker reads an end within this time, in ms. */
const readWithinMs = 300
/** An end is hidden by lost answers if this many requests that would have shown it are lost, and none is answered: two wait at each worker in the target. */
const hidingRequests = 2

/** Creates the judgement of a play. */
export function createReadableEnds (getHarness: () => PoolHarness): ReadableEnds {
  const ends = new Map<string, ListedEnd>()
  const requests: (LossyRequest & { readonly untilMs: number })[] = []
  const lost: string[] = []
  return { lost, noteEnd, noteRead, noteRequest, noteLoss, noteStart, look }

  function noteEnd ({ task, run, workerId, how }: RunOnWorker & { readonly how: string }): void {
    if (how !== EndKind.Done) ends.delete(task)
    else ends.set(task, { task, run, workerId, atMs: performance.now(), sinceMs: new Map(), isRead: false, readableAtMs: undefined, goneAtMs: undefined, isHidden: false })
    look()
  }

  function noteRead ({ task, run }: Pick<RunOnWorker, 'task' | 'run'>): void {
    const end = ends.get(task)
    if (end?.run === run) end.isRead = true
  }

  function noteRequest (request: LossyRequest): void {
    if (request.waitMs !== undefined) requests.push({ ...request, untilMs: performance.now() + request.waitMs })
  }

  function look (): void {
    const nowMs = performance.now()
    for (const end of ends.values()) {
      if (end.goneAtMs !== undefined || end.readableAtMs !== undefined) continue
      const { hosts } = getHarness()
      for (const hostId of end.sinceMs.keys()) if (hosts.get(hostId)?.canCall(end.workerId) !== true) end.sinceMs.delete(hostId)
      for (const [hostId, host] of hosts) if (!end.sinceMs.has(hostId) && host.canCall(end.workerId)) end.sinceMs.set(hostId, nowMs)
      if ([...end.sinceMs.values()].some(sinceMs => nowMs - sinceMs >= readWithinMs)) end.readableAtMs = nowMs
    }
  }

  function noteLoss (workerId: string): void {
    look()
    for (const end of ends.values()) {
      if (end.workerId !== workerId || end.goneAtMs !== undefined) continue
      end.goneAtMs = performance.now()
      end.isHidden = isHidden(end)
    }
  }

  function isHidden ({ workerId, atMs, isRead }: ListedEnd): boolean {
    const showing = requests.filter(request => request.workerId === workerId && request.untilMs >= atMs)
    return !isRead && showing.length >= hidingRequests && showing.every(({ isLost }) => isLost)
  }

  function noteStart ({ task, run, workerId }: RunOnWorker, members: readonly string[]): void {
    look()
    const memberEnds = members.map(member => ends.get(member))
    if (!memberEnds.every(end => end?.readableAtMs !== undefined && !(end.goneAtMs === undefined ? isHidden(end) : end.isHidden))) return
    const listed = memberEnds.map(end => end === undefined ? '' : `run ${end.run} of ${end.task} on ${end.workerId}, listed at ${Math.round(end.atMs)} ms, ${end.isRead ? 'read, ' : ''}gone at ${Math.round(end.goneAtMs ?? Infinity)} ms`)
    lost.push(`${task} run ${run} starts on ${workerId} at ${Math.round(performance.now())} ms, after the end of ${listed.join(' and ')}`)
  }
}
