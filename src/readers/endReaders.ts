/**
 * Reads the ends that workers list while no scheduler asks for them, and delivers them to the next scheduler: an end that nobody has read is gone with its worker.
 * See docs/design/reads-without-scheduler.md.
 */
import type { HostMetrics } from '../common/hostMetrics.js'
import type { Logger } from '../common/logger.js'
import type { RpcClient } from '../common/rpcClient.js'
import type { RpcMethod } from '../common/rpcServer.js'
import { createSignal } from '../common/time.js'
import type { LeaderView } from '../election/leaderElection.js'
import { ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { KnownHost } from '../peers/hostDirectory.js'
import { createPeerSchedulerMethods, encodeEnds, isAcceptance, maxEndsPerCall, peerSchedulerMethods, tryDecodeTerm } from '../peers/peerSchedulerMethods.js'
import type { PeerTerm } from '../peers/peerSchedulerMethods.js'
import type { ListedWorker, WorkerPort, WorkerStatusReport } from '../workers/workerPort.js'
import { createReadEnds } from './readEnds.js'
import type { ReadEnd } from './readEnds.js'
import { createWorkerReader } from './workerReader.js'

/** Dependencies of the readers of one host. */
export interface EndReadersHost {
  readonly logger: Logger
  readonly metrics?: Pick<HostMetrics, 'count'> | undefined
  readonly hostId: string
  /** The failure domain of this host. */
  readonly domain: string
  readonly getPeers: () => readonly KnownHost[]
  /** Reads the other hosts from the store, while no peers are known; it shows also those that are gone. May reject. */
  readonly readPeers: () => Promise<readonly KnownHost[]>
  readonly connect: (address: string) => RpcClient
  readonly connectWorker: (worker: ListedWorker) => WorkerPort
  /** Reads the list of workers. May reject. */
  readonly readWorkers: () => Promise<readonly ListedWorker[]>
  /** Tells whether any term has granted leases to workers of which the store still has a record. May reject. */
  readonly hasGrantRecord: () => Promise<boolean>
  readonly getLeaderView: () => LeaderView | undefined
  /** The term of this host, if it schedules. */
  readonly getOwnTerm: () => PeerTerm
  /** Hands ends to the scheduler of this host. */
  readonly applyEnds: (ends: readonly ReadEnd[]) => void
  readonly signal: AbortSignal
}

/** The readers of one host. */
export interface EndReaders {
  /** The methods that this host serves for its peers. */
  readonly methods: readonly RpcMethod[]
  /** Must be called when the leader key, or the term of this host, has changed. */
  onLeaderSeen (): void
  /** Must be called with each report that this host has read for a peer. */
  onRelayedReport (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number): void
  /** Must be called with each report that the term of this host receives. */
  onOwnReport (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number): void
}

/** In each failure domain one host asks the scheduler in each such interval, in ms. */
const askPeriodMs = 200
/** Time allowed for the scheduler's answer, in ms: two round trips between the most distant regions, one of them to connect, and a busy host. */
const askTimeoutMs = 250
/**
 * A scheduler that leaves so many requests in a row without an answer is taken for lost. If it answers again in the same term, twice as many are required the next time, up to the
 * greater number: each time of reading costs requests to workers, and such a scheduler is only slow.
 */
const minLostAnswers = 2
const maxLostAnswers = 8
/** Interval of the checks while this host has ends to deliver, in ms. The scheduler is asked each such interval at most. */
const activePeriodMs = 200
/** Interval of the checks while this host reads, in ms: all hosts do so then, and the scheduler may only be slow. */
const readingPeriodMs = 500
/** The store is asked for the same thing once in this time at most, in ms: all hosts share its rate of reads. */
const storeReadPeriodMs = 1_000
/** Time allowed for a delivery, in ms. */
const deliveryTimeoutMs = 500
/** A host follows the suspicions of its peers at most once in this time, in ms. */
const suspicionPeriodMs = 1_000
/** A peer that has not answered is taken for gone for this long, in ms. */
const absentMs = 5_000

/** What the host knows of the scheduler. */
interface SchedulerState {
  /** The epoch of the view of the leader key for which it was found out. */
  readonly epoch: number
  readonly hostId: string | undefined
  readonly isPolling: boolean
  /** False if the host that the key names did not answer. */
  readonly isAnswering: boolean
  readonly reason: string
}

/** Wraps a port so that its reports are observed. */
export function observeReports (port: WorkerPort, workerId: string, onReport: EndReaders['onOwnReport']): WorkerPort {
  return {
    ...port,
    renewLease: async renewal => {
      const sentAtMs = performance.now()
      const report = await port.renewLease(renewal)
      onReport(workerId, report, renewal.epoch, sentAtMs)
      return report
    }
  }
}

/** Creates the readers of one host; they work until the signal is aborted. */
export function createEndReaders (host: EndReadersHost): EndReaders {
  const { logger, signal } = host
  const kept = createReadEnds()
  const woken = createSignal()
  const reader = createWorkerReader({
    logger,
    hostId: host.hostId,
    domain: host.domain,
    readPeers: readLivePeers,
    readWorkers: host.readWorkers,
    connect: host.connectWorker,
    onReport: (workerId, report, epoch, sentAtMs) => { keep(workerId, report, epoch, sentAtMs, 'reader') },
    count: outcome => { host.metrics?.count('reader_polls', outcome) }
  })
  /** When peers of the failure domain have last not answered, by host. */
  const absentSinceMs = new Map<string, number>()
  let state: SchedulerState | undefined
  let hasSeenScheduler = false
  let isReading = false
  let isWoken = false
  let isDelivering = false
  let isSuspected = false
  let toldAtMs = -Infinity
  /** The epoch with which reading began because the scheduler did not answer; undefined if it began for another reason. */
  let silentEpoch: number | undefined
  let requiredLostAnswers = minLostAnswers
  let suspectedAtMs = -Infinity
  let answeredAtMs = -Infinity
  let lastTurn = -1
  let askedAtMs = -Infinity
  let grantsReadAtMs = -Infinity
  let storedPeers: readonly KnownHost[] = []
  let peersReadAtMs = -Infinity
  signal.addEventListener('abort', wake, { once: true })
  void run()

  return {
    methods: createPeerSchedulerMethods({ getOwnTerm: host.getOwnTerm, onSuspected, acceptEnds }),
    onLeaderSeen: wake,
    onRelayedReport: (workerId, report, epoch, sentAtMs) => { keep(workerId, report, epoch, sentAtMs, 'relay') },
    onOwnReport: (workerId, report, epoch, sentAtMs) => { if (report.ended.length > 0) kept.addOwn(workerId, report, epoch, sentAtMs) }
  }

  function wake (): void {
    isWoken = true
    woken.notify()
  }

  function keep (workerId: string, report: WorkerStatusReport, epoch: number, sentAtMs: number, source: string): void {
    const added = kept.add(workerId, report, epoch, sentAtMs)
    if (added === 0) return
    for (let index = 0; index < added; index++) host.metrics?.count('ends_read', source)
    wake()
  }

  async function run (): Promise<void> {
    while (!signal.aborted) {
      isWoken = false
      const view = host.getLeaderView()
      if (view !== undefined) await check(view)
      // What happens during a check is looked at by the next one.
      if (!isWoken && !signal.aborted) await woken.wait(getPauseMs())
    }
    reader.end()
  }

  function getPauseMs (): number {
    const view = host.getLeaderView()
    if (view !== undefined && kept.getUndelivered(view.epoch).length > 0) return activePeriodMs
    if (isReading) return readingPeriodMs
    return askPeriodMs - Date.now() % askPeriodMs
  }

  async function check (view: LeaderView): Promise<void> {
    const found = await findScheduler(view)
    if (signal.aborted) return
    state = found
    if (found.isPolling) {
      hasSeenScheduler = true
      if (isReading) stopReading(found)
    } else if (isReading) reader.begin(view.epoch)
    else if (hasSeenScheduler || await hasGrantRecord()) startReading(found)
    void deliver(view)
  }

  function startReading (found: SchedulerState): void {
    if (signal.aborted) return
    isReading = true
    silentEpoch = found.hostId === undefined || found.isAnswering ? undefined : found.epoch
    logger.info('no scheduler asks the workers for their ends', { ...describe(found), answerAgeMs: answeredAtMs === -Infinity ? undefined : Math.round(performance.now() - answeredAtMs) })
    reader.begin(found.epoch)
    tellPeers(found.epoch)
  }

  function stopReading (found: SchedulerState): void {
    isReading = false
    requiredLostAnswers = found.epoch === silentEpoch ? Math.min(2 * requiredLostAnswers, maxLostAnswers) : minLostAnswers
    logger.info('a scheduler asks the workers for their ends', { ...describe(found), requiredLostAnswers })
    reader.end()
  }

  function describe ({ epoch, hostId, isAnswering, reason }: SchedulerState): object {
    return { epoch, scheduler: hostId, isAnswering, reason }
  }

  async function hasGrantRecord (): Promise<boolean> {
    if (performance.now() - grantsReadAtMs < storeReadPeriodMs) return false
    grantsReadAtMs = performance.now()
    return await host.hasGrantRecord().catch(error => {
      logger.info('cannot read whether leases have been granted; retrying', { error: String(error) })
      return false
    })
  }

  async function findScheduler (view: LeaderView): Promise<SchedulerState> {
    const { epoch, hostId } = view
    const own = host.getOwnTerm()
    if (own.epoch !== undefined) return { epoch: own.epoch, hostId: host.hostId, isPolling: own.isPolling, isAnswering: true, reason: 'this host schedules' }
    if (hostId === undefined) return { epoch, hostId, isPolling: false, isAnswering: false, reason: 'there is no leader key' }
    if (hostId === host.hostId) return { epoch, hostId, isPolling: false, isAnswering: true, reason: 'the leader key names this host, which does not schedule' }
    const isKnown = state !== undefined && state.epoch === epoch && state.hostId === hostId
    if (state?.isPolling === true && isKnown && !isReading && !isSuspected && !takeTurn(hostId)) return state
    if (state !== undefined && isKnown && isReading && performance.now() - askedAtMs < activePeriodMs) return state
    askedAtMs = performance.now()
    return await askScheduler(epoch, hostId)
  }

  /** Tells whether it is the turn of this host to ask the scheduler. */
  function takeTurn (schedulerId: string): boolean {
    const turn = Math.floor(Date.now() / askPeriodMs)
    if (turn === lastTurn) return false
    lastTurn = turn
    const hostIds = [host.hostId, ...getDomainPeers().map(({ hostId }) => hostId)].filter(hostId => hostId !== schedulerId).sort()
    return turn % hostIds.length === hostIds.indexOf(host.hostId)
  }

  function getDomainPeers (): readonly KnownHost[] {
    return host.getPeers().filter(({ domain }) => domain === host.domain)
  }

  async function askScheduler (epoch: number, hostId: string): Promise<SchedulerState> {
    // The peer that suspects it has had the first request without an answer.
    const attempts = isSuspected ? requiredLostAnswers - 1 : requiredLostAnswers
    const mayTellPeers = !isSuspected && !isReading
    isSuspected = false
    let reason = ''
    for (let attempt = 0; attempt < attempts; attempt++) {
      try {
        const address = await findAddress(hostId)
        if (address === undefined) return { epoch, hostId, isPolling: false, isAnswering: false, reason: 'the host that the leader key names has no address' }
        const term = tryDecodeTerm(await host.connect(address).call(peerSchedulerMethods.getTerm, {}, askTimeoutMs))
        const isScheduling = term?.epoch !== undefined && term.epoch >= epoch
        const isPolling = isScheduling && term.isPolling
        if (isPolling) answeredAtMs = performance.now()
        return { epoch, hostId, isPolling, isAnswering: true, reason: isPolling ? 'the scheduler answers' : isScheduling ? 'the scheduler does not poll yet' : 'the host does not schedule in this epoch' }
      } catch (error) {
        reason = String(error)
        if (attempt === 0 && mayTellPeers) tellPeers(epoch)
        if (isErrorOfKind(error, ErrorKind.PeerUnreachable)) break
      }
    }
    return { epoch, hostId, isPolling: false, isAnswering: false, reason }
  }

  async function findAddress (hostId: string): Promise<string | undefined> {
    const isNamed = (peer: KnownHost): boolean => peer.hostId === hostId
    return (host.getPeers().find(isNamed) ?? (await readStoredPeers()).find(isNamed))?.address
  }

  async function readStoredPeers (): Promise<readonly KnownHost[]> {
    if (performance.now() - peersReadAtMs < storeReadPeriodMs) return storedPeers
    peersReadAtMs = performance.now()
    storedPeers = await host.readPeers()
    return storedPeers
  }

  async function readLivePeers (): Promise<{ readonly peers: readonly KnownHost[], readonly isAlone: boolean }> {
    const known = host.getPeers()
    const nowMs = performance.now()
    if (known.length > 0) return { peers: known.filter(({ hostId }) => nowMs - (absentSinceMs.get(hostId) ?? -Infinity) > absentMs), isAlone: false }
    const stored = await readStoredPeers().catch(error => {
      logger.info('cannot read the hosts; this host reads all workers', { error: String(error) })
      return []
    })
    return { peers: stored, isAlone: true }
  }

  /** Tells the other hosts of the failure domain that the scheduler does not answer, which also shows which of them are alive. */
  function tellPeers (epoch: number): void {
    const nowMs = performance.now()
    if (nowMs - toldAtMs < suspicionPeriodMs) return
    toldAtMs = nowMs
    absentSinceMs.clear()
    for (const { address, hostId } of getDomainPeers()) {
      host.connect(address).call(peerSchedulerMethods.suspect, { epoch }, askTimeoutMs).catch(error => {
        logger.info('a peer does not answer; its workers are read by others', { peer: hostId, error: String(error) })
        absentSinceMs.set(hostId, performance.now())
        reader.reviewPeers()
      })
    }
  }

  function onSuspected (epoch: number): void {
    const nowMs = performance.now()
    if (isReading || epoch < (host.getLeaderView()?.epoch ?? 0) || nowMs - suspectedAtMs < suspicionPeriodMs) return
    suspectedAtMs = nowMs
    isSuspected = true
    wake()
  }

  // Delivery

  async function deliver ({ epoch, hostId }: LeaderView): Promise<void> {
    if (isDelivering) return
    isDelivering = true
    try {
      let ends = kept.getUndelivered(epoch).slice(0, maxEndsPerCall)
      while (ends.length > 0 && !signal.aborted && await tryDeliver(epoch, hostId, ends)) {
        kept.setDelivered(ends, epoch)
        for (let index = 0; index < ends.length; index++) host.metrics?.count('ends_delivered')
        logger.info('ends read by this host are delivered to the scheduler', { epoch, scheduler: hostId, ends: ends.length, ...describeAges(ends) })
        ends = kept.getUndelivered(epoch).slice(0, maxEndsPerCall)
      }
    } catch (error) {
      logger.info('cannot deliver ends to the scheduler; retrying', { epoch, scheduler: hostId, error: String(error) })
    } finally {
      isDelivering = false
    }
  }

  async function tryDeliver (epoch: number, hostId: string | undefined, ends: readonly ReadEnd[]): Promise<boolean> {
    const own = host.getOwnTerm()
    if (own.epoch !== undefined) {
      if (own.epoch !== epoch) return false
      host.applyEnds(ends)
      return true
    }
    if (hostId === undefined || hostId === host.hostId || state?.isAnswering !== true) return false
    const address = await findAddress(hostId)
    return address !== undefined && isAcceptance(await host.connect(address).call(peerSchedulerMethods.reportEnds, encodeEnds(epoch, host.hostId, ends), deliveryTimeoutMs))
  }

  function acceptEnds (epoch: number, ends: readonly ReadEnd[], from: string): boolean {
    if (host.getOwnTerm().epoch !== epoch) return false
    logger.info('ends read by another host are received', { epoch, from, ends: ends.length, ...describeAges(ends) })
    host.applyEnds(ends)
    return true
  }
}

function describeAges (ends: readonly ReadEnd[]): object {
  const agesMs = ends.map(({ readAtMs }) => Math.round(performance.now() - readAtMs))
  return { youngestMs: Math.min(...agesMs), oldestMs: Math.max(...agesMs) }
}
