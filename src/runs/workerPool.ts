/** The workers of one term: their books and links, kept in step with the platform's list. */
import type { Logger } from '../common/logger.js'
import type { Term } from '../election/leaderElection.js'
import { getUnits } from '../jobs/trackedJob.js'
import type { TrackedJob } from '../jobs/trackedJob.js'
import { createWorkerBook } from '../workers/workerBook.js'
import type { WorkerBook } from '../workers/workerBook.js'
import type { ListedWorker, WorkerLook, WorkerPort } from '../workers/workerPort.js'
import { createWorkerLink } from './workerLink.js'
import type { WorkerLink } from './workerLink.js'

/** What the pool needs from outside. */
export interface WorkerPoolHost {
  readonly term: Term
  readonly logger: Logger
  /** The longest lease that a worker grants, in ms. */
  readonly maxLeaseMs: number
  readonly connect: (info: ListedWorker) => WorkerPort
  /** Tells whether the scheduler has any run there that has not ended. */
  readonly hasMembers: (workerId: string) => boolean
  /** Resolves when every end of the look is stored. */
  readonly onReport: (book: WorkerBook, look: WorkerLook, sentAtMs: number, isWhole: boolean) => Promise<void>
  /** Whatever ran on the worker has ended. */
  readonly onLost: (book: WorkerBook) => void
  readonly onChanged: () => void
}

/** The books and links. */
export interface WorkerPool {
  readonly books: ReadonlyMap<string, WorkerBook>
  getLink (workerId: string): WorkerLink | undefined
  /** Takes the platform's list as it stands now. */
  refresh (listed: readonly ListedWorker[]): void
  /** Adds the workers of stored attempts that the list does not name: their tasks may run until their leases end. */
  addUnlisted (job: TrackedJob): void
  /** Every worker has answered, or its lease has ended by any clock. */
  areSettled (): boolean
  /** Gives up the term when most workers cannot be reached. */
  checkReachability (): void
  close (): void
}

/** A scheduler that reaches fewer than two in five workers for `unreachedLimitMs` gives up its term. */
const maxUnreachableShare = 0.6
/** Longer than the time in which a restarted pool answers again, in ms. */
const unreachableLimitMs = 2_500
/** It does not stand again for so long, in ms: others have been elected by then. */
const candidacyPauseMs = 4_000

/** Creates the pool of one term. */
export function createWorkerPool (host: WorkerPoolHost): WorkerPool {
  const { term, logger } = host
  const books = new Map<string, WorkerBook>()
  const links = new Map<string, WorkerLink>()
  let unreachableSinceMs: number | undefined

  return { books, getLink: workerId => links.get(workerId), refresh, addUnlisted, areSettled, checkReachability, close }

  function close (): void {
    for (const link of links.values()) link.close()
  }

  function areSettled (): boolean {
    return [...links.values()].every(link => link.isSettled())
  }

  /** A host that is cut off from most workers leaves them to one that may reach them. */
  function checkReachability (): void {
    const listed = [...books.values()].filter(book => book.isListed)
    const unreachable = listed.filter(book => !book.isReachable).length
    if (listed.length === 0 || unreachable <= listed.length * maxUnreachableShare) unreachableSinceMs = undefined
    else unreachableSinceMs ??= performance.now()
    if (unreachableSinceMs === undefined || performance.now() - unreachableSinceMs < unreachableLimitMs) return
    term.resign(`${unreachable} of ${listed.length} workers cannot be reached`, candidacyPauseMs)
  }

  function refresh (listed: readonly ListedWorker[]): void {
    const listedIds = new Set(listed.map(info => info.workerId))
    for (const info of listed) addOrUpdate(info)
    for (const book of books.values()) if (!listedIds.has(book.info.workerId)) unlist(book)
  }

  function addOrUpdate (info: ListedWorker): void {
    const book = books.get(info.workerId)
    if (book === undefined || book.info.bornAtMs < info.bornAtMs) {
      if (book !== undefined) replaceIncarnation(book)
      addWorker(info)
      return
    }
    if (book.info.bornAtMs > info.bornAtMs) return
    if (book.info.address !== info.address) {
      // The worker was known by its stored attempts only.
      links.get(info.workerId)?.close()
      book.info = info
      book.isReachable = false
      addLink(book)
    }
    if (book.info.isDraining !== info.isDraining) logger.info('a worker drains', { workerId: info.workerId, isDraining: info.isDraining, remainingMs: info.remainingMs })
    book.info = info
    book.isListed = true
  }

  function addWorker (info: ListedWorker): void {
    const book = createWorkerBook(info)
    books.set(info.workerId, book)
    addLink(book)
  }

  function addLink (book: WorkerBook): void {
    const { info } = book
    const link = createWorkerLink({
      term,
      logger,
      info,
      port: host.connect(info),
      maxLeaseMs: host.maxLeaseMs,
      isNeeded: () => book.bookings.size > 0 || host.hasMembers(info.workerId),
      onReport: (look, sentAtMs, isWhole) => host.onReport(book, look, sentAtMs, isWhole),
      onReachable: isReachable => {
        book.isReachable = isReachable
        host.onChanged()
      },
      onRestarted: () => {
        book.isReachable = false
        host.onLost(book)
      },
      onLeaseExpired: () => {
        host.onLost(book)
        if (!book.isListed) removeWorker(book)
      }
    })
    links.set(info.workerId, link)
  }

  function replaceIncarnation (book: WorkerBook): void {
    logger.info('a worker is listed as restarted', { workerId: book.info.workerId })
    host.onLost(book)
    removeWorker(book)
  }

  function removeWorker (book: WorkerBook): void {
    links.get(book.info.workerId)?.close()
    links.delete(book.info.workerId)
    books.delete(book.info.workerId)
  }

  /** A worker that is not listed may still run what it has been told to. */
  function unlist (book: WorkerBook): void {
    if (book.isListed) logger.info('a worker has left the list', { workerId: book.info.workerId })
    book.isListed = false
    if (book.bookings.size === 0 && !host.hasMembers(book.info.workerId)) removeWorker(book)
  }

  function addUnlisted (job: TrackedJob): void {
    for (const member of getUnits(job).flatMap(unit => unit.attempts).flatMap(attempt => attempt.members)) {
      if (books.has(member.workerId)) continue
      const none = { cpuMilli: 0, memoryMb: 0, accelerators: 0 }
      addWorker({ workerId: member.workerId, address: '', service: '', domain: '', bornAtMs: member.bornAtMs, isDraining: true, capacity: none, labels: [], rack: '' })
    }
  }
}
