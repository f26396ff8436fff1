/**
 * `npm run soak:platform -- --seeds 1,2,3 --seconds 15`: runs the real daemons as processes against the emulator on loopback and
 * injects a seeded series of overlapping faults. Compares what the workers ran with the responses that callers got.
 * With `--departures all`, or some of their kinds, workers are disturbed and then gone for good instead, in rounds of 21 s with calm between them.
 */
import { parseArgs } from 'node:util'
import { createRandom, pickRandom } from '../../common/random.js'
import { delay } from '../../common/time.js'
import { backlogKey } from '../../admission/backlogCodec.js'
import { leaderKey } from '../../election/leaderElection.js'
import { acceptedPrefix, getAcceptedKey, pendingCountsKey, progressPrefix } from '../../jobs/jobKeys.js'
import { EndKind, tryParseTaskName } from '../../jobs/jobModel.js'
import { hostsPrefix } from '../../peers/hostDirectory.js'
import { learnedStateKey } from '../../runs/learnedState.js'
import type { JobSpec } from '../../jobs/jobModel.js'
import { startPlatformEmulator, storeClientId } from '../emulator/platformEmulator.js'
import type { PlatformEmulator } from '../emulator/platformEmulator.js'
import { startDaemonProcesses } from './daemonProcesses.js'
import { hasCauseToFail } from '../../standins/poolWorker.js'
import type { PoolWorker, ReceivedStart } from '../../standins/poolWorker.js'
import type { DaemonProcess, DaemonProcesses } from './daemonProcesses.js'
import { LinkFault } from '../../testing/faultProxy.js'
import { nestJson } from '../../testing/oddValues.js'
import { workerListPrefix } from '../workerEntries.js'
import { createConfigurationChanges } from './configurationChanges.js'
import type { ConfigurationChangesHost } from './configurationChanges.js'
import { createDepartures, DepartureKind } from './departures.js'
import { createDisturbances } from './disturbances.js'
import type { Disturbances } from './disturbances.js'
import { watchStandingJobs } from './standingJobs.js'
import type { StandingReport } from './standingJobs.js'
import { createSoakCaller, isAccepted, SubmissionOutcome } from './soakCaller.js'
import type { SoakCaller, SoakJob } from './soakCaller.js'

/** The result of one seed. */
export interface SoakReport {
  readonly seed: number
  readonly jobs: number
  readonly accepted: number
  readonly rejected: number
  readonly unknown: number
  readonly cancelled: number
  /** Jobs of which a cancellation was answered with 410. */
  readonly cancelledUnstored: number
  readonly complete: number
  readonly starts: number
  readonly evacuations: number
  /** Crashes of many workers at the same moment. */
  readonly massCrashes: number
  /** How often the next writes of one key were made late. */
  readonly lateWrites: number
  /** Versions of the configuration, and answers that told by which of them they were decided. */
  readonly configurations: number
  readonly decidedAnswers: number
  /** Workers that were gone for good. */
  readonly departures: number
  /** The time in which jobs may not stand, and the longest that one has stood in it, in ms. */
  readonly standing: Omit<StandingReport, 'violations'>
  /** Processes that a SIGTERM ended before they had logged anything, and how long after their start that was. */
  readonly endedWhileStarting: readonly string[]
  readonly faults: readonly string[]
  /** Descriptions of violated guarantees; empty on success. */
  readonly broken: readonly string[]
  /** Lines of the hosts' logs about the jobs of the violated guarantees; empty on success. */
  readonly trace: readonly string[]
  /** The folder with all logs; only if a guarantee was violated. */
  readonly logFolder?: string
}

/** A request to evacuate a failure domain; times by the monotonic clock. */
interface Evacuation {
  readonly domain: string
  readonly requestedAtMs: number
  withdrawnAtMs: number
}

/** What the faults of a soak and the hosts' reactions to them add to its report. */
interface FaultRecord {
  readonly faults: string[]
  readonly broken: string[]
  readonly endedWhileStarting: string[]
  readonly disturbances: Disturbances
}

const hostCount = 4
const workerCount = 12
const capacity = { cpuMilli: 64_000, memoryMb: 256_000, accelerators: 8 }
const bounds = { graceS: 6, holdMaxMs: 3_000, stopMs: 100, gangMs: 2_000, reclaimMs: 2_900, evacMs: 3_000, configMs: 2_500 }
/** The longest lease in the soak of departures, in ms: longer than the one that the scheduler asks for, so that a wait for the longest one shows. */
const departuresMaxLeaseMs = 10_000
const jobPauseMs = 160
/** Under half of the accelerators are in use at this pace: 2 of 96 for 9 s a run. */
const longJobPauseMs = 600
const domains = ['a', 'b']
const workersPerRack = 4
/** An evacuation lasts this long beyond its bound, in ms, so that a late start would be seen. */
const evacuationCheckMs = 3_000
const evacuationPauseMs = 2_000
/** Added to a seed for the evacuations, so that they do not change the series of the other faults. */
const evacuationSeedOffset = 7_919
const faultPauseMs = 900
/** At most this long passes between two crashes of many workers, in ms; they overlap when workers are still away or cut off from the last one. */
const massCrashPauseMs = 4_000
/** A worker that has crashed starts again within this, in ms. */
const maxAwayMs = 2_500
const massCrashSeedOffset = 104_729
const lateWritesPauseMs = 800
/** The longest time in ms after which a write without a response is applied. */
const maxLateMs = 6_000
const lateWritesSeedOffset = 15_485_863
const departuresSeedOffset = 32_452_843
const configurationSeedOffset = 49_979_687
const probeSeedOffset = 67_867_967
/** Starts and writes that a fault makes late are carried out within this, in ms. */
const maxEffectMs = 3_300
/** The prefixes of the keys that the daemons write in the soak. */
const writtenPrefixes = [pendingCountsKey, backlogKey, learnedStateKey, leaderKey, hostsPrefix, progressPrefix, acceptedPrefix]
/** What another writer left among the entries of workers, hosts and jobs. */
const oddEntries: readonly (readonly [string, string])[] = [
  ...['{', nestJson(100_000), createOddWorker({ addr: '127.0.0.1:99999' }), createOddWorker({ capacity: { cpu: 1e300 } })].map((value, index) => [`${workerListPrefix}odd-${index}`, value] as const),
  [`${workerListPrefix}\u6f22`, createOddWorker({})],
  [`${hostsPrefix}odd`, '{'],
  [getAcceptedKey('odd'), 'null']
]
/** Jobs that cannot start, submitted when all others have ended. */
const waitingJobs = 8
/** Hosts show a change in the number of waiting jobs within this, in ms: the counts may be 2 s old, and a new scheduler takes 3 s to take over. */
const pendingBoundMs = 5_000
/** All jobs end within this time after the last fault is cleared: some leases have to expire, then the remaining work runs. */
const settleTimeoutMs = 45_000
/** The same where runs take up to 14 s and are replaced once. */
const longSettleTimeoutMs = 90_000
const pollMs = 250
const maxTraceLines = 200
/** A cancelled job must not be running this long after its cancellation was acknowledged. */
const cancelGraceMs = 3_000

/** Runs one seed: overlapping faults or, if kinds of departures are given, rounds of these. */
export async function runPlatformSoak (seed: number, seconds: number, departureKinds: readonly DepartureKind[] = []): Promise<SoakReport> {
  const isOfDepartures = departureKinds.length > 0
  const random = createRandom(seed)
  const disturbances = createDisturbances()
  const lasting = new Set<string>()
  /** The members of a gang have the same work, as the first one to end ends the gang. */
  const workMs = new Map<string, number>()
  const holdMaxMs = isOfDepartures ? departuresMaxLeaseMs : bounds.holdMaxMs
  const evacuations: Evacuation[] = []
  const starts: ReceivedStart[] = []
  const emulator = await startPlatformEmulator({
    workers: workerCount,
    workersPerRack,
    capacity,
    getDomain,
    onStart: start => { starts.push(start) },
    onEnd: ({ task, how }) => { if (how === EndKind.Done) standingJobs.onDone(task) },
    maxLeaseMs: holdMaxMs,
    getRun: task => isOfDepartures
      ? { workMs: workMs.get(getJobId(task)) ?? 0, how: EndKind.Done, isLasting: lasting.has(getJobId(task)) }
      : { workMs: 100 + Math.floor(1_400 * random()), how: random() < 0.04 ? EndKind.Failed : EndKind.Done }
  })
  const names = { service: 'pool', hostName: 'soak.example', key: 'soak-key' }
  emulator.configure(createConfiguration(1, names))
  for (const [key, value] of oddEntries) emulator.store.write(key, value)
  const daemons = await startDaemonProcesses(hostCount, getNetwork(seed), emulator.storeAddress, { ...bounds, holdMaxMs })
  const caller = createSoakCaller({ addresses: daemons.hosts.map(host => host.callersAddress), hostName: names.hostName, key: names.key, random })
  const faults: string[] = []
  const broken: string[] = []
  const endedWhileStarting: string[] = []
  let massCrashes = 0
  let lateWrites = 0
  const jobs: SoakJob[] = []
  const changes = createConfigurationChanges({
    configure: emulator.configure,
    common: createConfiguration(1, names),
    hostName: names.hostName,
    service: names.service,
    key: names.key,
    hosts: daemons.hosts,
    random: createRandom(seed + configurationSeedOffset),
    randomProbe: createRandom(seed + probeSeedOffset),
    boundMs: bounds.configMs
  })
  const departures = createDepartures({ kinds: departureKinds, emulator, disturbances, random: createRandom(seed + departuresSeedOffset) })
  const standingJobs = watchStandingJobs({ emulator, disturbances, caller, jobs, describeRun: departures.describeRun })
  let standing: SoakReport['standing']
  try {
    await delay(1_500)
    const endsAtMs = Date.now() + seconds * 1_000
    const randomLate = createRandom(seed + lateWritesSeedOffset)
    if (isOfDepartures) await Promise.all([submitJobs(), departures.play(endsAtMs)])
    else await Promise.all([submitJobs(), injectFaults(), delayWritesByKey(randomLate), evacuateDomains(createRandom(seed + evacuationSeedOffset)), crashWorkers(createRandom(seed + massCrashSeedOffset)), changes.play(endsAtMs)])
    await Promise.all(jobs.filter(({ spec }) => lasting.has(spec.jobId)).map(async job => { await caller.cancel(job) }))
    await clearFaults(emulator, daemons, disturbances)
    if (!isOfDepartures) await changes.settle()
    await waitForJobs(caller, jobs, isOfDepartures ? longSettleTimeoutMs : settleTimeoutMs)
    broken.push(...daemons.findLogLines(['"uncaught error"']))
    if (!isOfDepartures) broken.push(...await findPendingViolations(randomLate))
    broken.push(...findStoreViolations(emulator, daemons), ...changes.getViolations())
    broken.push(...emulator.poolState.violations, ...findViolations(jobs, emulator), ...findLateStarts(starts, evacuations))

    async function submitJobs (): Promise<void> {
      const running: Promise<void>[] = []
      for (let index = 0; Date.now() < endsAtMs; index++) {
        const job = isOfDepartures ? caller.createLongJob(index, seed) : caller.createJob(index, seed)
        if (job.spec.steps.some(({ isService }) => isService)) lasting.add(job.spec.jobId)
        if (isOfDepartures) workMs.set(job.spec.jobId, 4_000 + Math.floor(10_000 * random()))
        emulator.addJob(job.spec)
        jobs.push(job)
        running.push(caller.submit(job))
        if (!isOfDepartures && random() < 0.1) running.push(delay(400).then(async () => { await caller.cancel(job) }))
        await delay(isOfDepartures ? longJobPauseMs : jobPauseMs)
      }
      await Promise.all(running)
    }

    async function injectFaults (): Promise<void> {
      const running: Promise<void>[] = []
      while (Date.now() < endsAtMs) {
        await delay(faultPauseMs * (0.5 + random()))
        running.push(injectFault(emulator, daemons, random, { faults, broken, endedWhileStarting, disturbances }))
      }
      await Promise.all(running)
    }

    async function crashWorkers (randomCrash: () => number): Promise<void> {
      const running: Promise<void>[] = []
      while (Date.now() < endsAtMs) {
        await delay(1_000 + (massCrashPauseMs - 1_000) * randomCrash())
        running.push(recordDuring(disturbances, 'mass crash', maxAwayMs, crashMany(emulator, randomCrash)))
        massCrashes++
      }
      await Promise.all(running)
    }

    async function delayWritesByKey (randomLate: () => number): Promise<void> {
      while (Date.now() < endsAtMs) {
        await delay(lateWritesPauseMs * randomLate())
        void recordDuring(disturbances, 'late writes', maxLateMs)
        emulator.store.delayWrites(storeClientId, 1 + Math.floor(2 * randomLate()), maxLateMs * randomLate(), pickRandom(writtenPrefixes, randomLate))
        lateWrites++
      }
    }

    /** Submits jobs that cannot start, the first of them while writes of the counts are late, and compares what every host says of them. */
    async function findPendingViolations (randomLate: () => number): Promise<readonly string[]> {
      emulator.store.delayWrites(storeClientId, 4, maxLateMs, pendingCountsKey)
      const waiting: SoakJob[] = []
      for (let index = 0; index < waitingJobs; index++) {
        const job = caller.createWaitingJob(jobs.length + index, seed)
        waiting.push(job)
        await caller.submit(job)
        await delay(lateWritesPauseMs * randomLate())
      }
      emulator.store.delayWrites(storeClientId, 0, 0)
      await delay(maxLateMs + pendingBoundMs)
      const stored = waiting.filter(({ spec }) => emulator.store.peek(getAcceptedKey(spec.jobId)) !== undefined).length
      const answers = await Promise.all(daemons.hosts.map(async ({ name, callersAddress }) => ({ name, pending: await caller.getPending('batch', callersAddress) })))
      return answers.filter(({ pending }) => pending !== stored).map(({ name, pending }) => `${name} counts ${pending} of ${stored} waiting jobs`)
    }

    async function evacuateDomains (randomEvacuation: () => number): Promise<void> {
      while (Date.now() < endsAtMs) {
        await delay(evacuationPauseMs * randomEvacuation())
        const domain = pickRandom(domains, randomEvacuation)
        emulator.setEvacuated(domain, true)
        const evacuation: Evacuation = { domain, requestedAtMs: performance.now(), withdrawnAtMs: Infinity }
        evacuations.push(evacuation)
        await delay(bounds.evacMs + evacuationCheckMs * randomEvacuation())
        evacuation.withdrawnAtMs = performance.now()
        emulator.setEvacuated(domain, false)
      }
    }
  } finally {
    const { violations, ...figures } = standingJobs.stop()
    broken.push(...violations)
    standing = figures
    changes.stop()
    await daemons.stop()
    emulator.stop()
  }
  const count = (outcome: SubmissionOutcome): number => jobs.filter(job => job.outcome === outcome).length
  return {
    seed,
    jobs: jobs.length,
    accepted: count(SubmissionOutcome.Accepted),
    rejected: count(SubmissionOutcome.Rejected),
    unknown: count(SubmissionOutcome.Unknown),
    cancelled: jobs.filter(job => job.cancelledAtMs !== undefined).length,
    cancelledUnstored: jobs.filter(job => job.isCancelledUnstored).length,
    complete: jobs.filter(job => job.state === 'complete').length,
    starts: [...emulator.poolState.starts.values()].reduce((sum, starts) => sum + starts, 0),
    evacuations: evacuations.length,
    massCrashes,
    lateWrites,
    configurations: changes.countVersions(),
    decidedAnswers: changes.countDecided(),
    departures: departures.countLeft(),
    standing,
    endedWhileStarting,
    faults: [...faults, ...departures.done],
    broken,
    ...collectTrace(daemons, broken)
  }
}

function createOddWorker (fields: object): string {
  return JSON.stringify({ service: 'pool', addr: '127.0.0.1:9', zone: 'a', state: 'ready', capacity, labels: [], born: 1, ...fields })
}

function getJobId (task: string): string {
  return tryParseTaskName(task)?.jobId ?? ''
}

function getDomain (workerIndex: number): string {
  return domains[Math.floor(workerIndex / workersPerRack) % domains.length] ?? ''
}

/** A start request that arrived in a failure domain later than the bound after the domain's evacuation was requested. */
function findLateStarts (starts: readonly ReceivedStart[], evacuations: readonly Evacuation[]): readonly string[] {
  return evacuations.flatMap(({ domain, requestedAtMs, withdrawnAtMs }) => {
    const late = starts.filter(({ workerId, receivedAtMs }) => getDomain(Number(workerId.slice('i-'.length))) === domain && receivedAtMs > requestedAtMs + bounds.evacMs && receivedAtMs < withdrawnAtMs)
    return late.map(({ task, run, workerId, receivedAtMs }) => `${task} run ${run} was sent to ${workerId} ${Math.round(receivedAtMs - requestedAtMs)} ms after the evacuation of ${domain} was requested`)
  })
}

/** Keeps the logs of a run that violated a guarantee, and removes those of any other. */
function collectTrace (daemons: DaemonProcesses, broken: readonly string[]): { readonly trace: readonly string[], readonly logFolder?: string } {
  if (broken.length === 0) {
    daemons.removeFiles()
    return { trace: [] }
  }
  const jobIds = broken.flatMap(violation => /\b[0-9a-f]{16}\b/.exec(violation)?.[0] ?? [])
  return { trace: daemons.findLogLines(jobIds).slice(0, maxTraceLines), logFolder: daemons.folder }
}

/** Concurrent soaks use separate loopback networks. */
function getNetwork (seed: number): string {
  return `127.${1 + process.pid % 250}.${1 + seed % 250}`
}

function createConfiguration (version: number, { service, hostName, key }: { readonly service: string, readonly hostName: string, readonly key: string }): ConfigurationChangesHost['common'] & { readonly version: number } {
  const route = { host: hostName, service, attempts: 4, timeoutMs: 3_000 }
  return {
    version,
    routes: [
      { ...route, name: 'urgent', prefix: '/urgent/', priority: 0, sloFactor: 1.5, sloMs: 500 },
      { ...route, name: 'batch', prefix: '/batch/', priority: 2, sloFactor: 3, sloMs: 3_000 }
    ],
    services: [{ name: service }],
    tenants: [{ name: 'soak', keys: [key], guaranteed: { gpu: 16 } }]
  }
}

/** Injects one random fault; resolves when it is over. */
async function injectFault (emulator: PlatformEmulator, daemons: DaemonProcesses, random: () => number, { faults, broken, endedWhileStarting, disturbances }: FaultRecord): Promise<void> {
  const host = pickRandom(daemons.hosts, random)
  const leaderName = emulator.store.peek(leaderKey)
  const leader = daemons.hosts.find(({ name }) => name === leaderName) ?? host
  const worker = pickRandom(emulator.workers, random)
  const forMs = 500 + 3_500 * random()
  const kinds: Readonly<Record<string, () => Promise<void>>> = {
    'kill-leader': () => restartAfter(leader, () => leader.kill(), 300),
    'kill-host': () => restartAfter(host, () => host.kill(), 300),
    'terminate-host': () => restartAfter(host, async () => {
      if (!host.isUp()) return
      const { code, uptimeMs, wasStarting, wasKilled } = await host.terminate()
      if (wasStarting) endedWhileStarting.push(`${host.name} after ${Math.round(uptimeMs)} ms`)
      else if (code !== 0 && !wasKilled) broken.push(`${host.name} exited with ${code} after SIGTERM, ${Math.round(uptimeMs)} ms after its start`)
    }, 100),
    'freeze-leader': () => leader.freeze(forMs),
    'reload-host': async () => { host.reload() },
    'cut-leader-from-store': () => during(forMs, () => { leader.store.setFault(LinkFault.DropAll) }, () => { leader.store.setFault(LinkFault.None) }),
    'cut-host-from-store': () => during(forMs, () => { host.store.setFault(LinkFault.Reset) }, () => { host.store.setFault(LinkFault.None) }),
    'lose-answers-of-store': () => during(forMs, () => { host.store.setFault(LinkFault.DropResponses) }, () => { host.store.setFault(LinkFault.None) }),
    'slow-store': () => during(forMs, () => { host.store.setFault(LinkFault.Delay) }, () => { host.store.setFault(LinkFault.None) }),
    'store-out': () => during(forMs, () => { emulator.store.setUnavailable(true) }, () => { emulator.store.setUnavailable(false) }),
    'late-writes': async () => { emulator.store.delayWrites(storeClientId, 3, 1_500 * random()) },
    'lapse-leases': async () => { emulator.store.expireLeases() },
    'forget-history': async () => { emulator.store.compact() },
    'cut-worker': () => during(forMs, () => { worker.setUnreachable(true) }, () => { worker.setUnreachable(false) }),
    'restart-worker': async () => { emulator.restart(worker) },
    'late-orders': async () => { worker.delayStarts(3, 300 + 3_000 * random()) },
    'stall-worker': () => during(forMs, () => { worker.setStalled(true) }, () => { worker.setStalled(false) }),
    'drain-worker': () => during(forMs, () => { emulator.setDraining(worker, true) }, () => { emulator.setDraining(worker, false) })
  }
  const name = pickRandom(Object.keys(kinds), random)
  faults.push(name)
  await recordDuring(disturbances, name, maxEffectMs, kinds[name]?.())
}

/** Records a disturbance that lasts as long as the action, and what is late because of it up to `effectMs` longer. */
async function recordDuring (disturbances: Disturbances, name: string, effectMs: number, action: Promise<void> = Promise.resolve()): Promise<void> {
  const end = disturbances.begin(name)
  try {
    await action
  } finally {
    setTimeout(end, effectMs)
  }
}

/** Crashes two fifths to half of the workers at the same moment, in view of all or behind a partition; resolves when the partition is over. */
async function crashMany (emulator: PlatformEmulator, random: () => number): Promise<void> {
  const share = 0.4 + 0.1 * random()
  const workers = emulator.workers.map(worker => ({ worker, order: random() })).sort((left, right) => left.order - right.order).slice(0, Math.ceil(share * workerCount)).map(({ worker }) => worker)
  const setCut = pickRandom<(worker: PoolWorker, isCut: boolean) => void>([
    () => {},
    (worker, isCut) => { emulator.setCutFromStore(worker, isCut) },
    (worker, isCut) => { worker.setUnreachable(isCut) }
  ], random)
  for (const worker of workers) setCut(worker, true)
  await delay(500 * random())
  for (const worker of workers) emulator.crash(worker, maxAwayMs * random())
  await delay(500 + 4_000 * random())
  for (const worker of workers) setCut(worker, false)
}

async function during (forMs: number, begin: () => void, end: () => void): Promise<void> {
  begin()
  await delay(forMs)
  end()
}

async function restartAfter (host: DaemonProcess, stop: () => Promise<void>, pauseMs: number): Promise<void> {
  if (!host.isUp()) return
  await stop()
  await delay(pauseMs)
  if (!host.isUp()) host.start()
}

async function clearFaults (emulator: PlatformEmulator, daemons: DaemonProcesses, disturbances: Disturbances): Promise<void> {
  disturbances.note('faults cleared')
  emulator.store.setUnavailable(false)
  emulator.store.delayWrites(storeClientId, 0, 0)
  for (const host of daemons.hosts) {
    host.store.setFault(LinkFault.None)
    if (!host.isUp()) host.start()
  }
  for (const worker of emulator.workers) {
    worker.setUnreachable(false)
    worker.setStalled(false)
    emulator.setCutFromStore(worker, false)
    emulator.setDraining(worker, false)
  }
  await delay(1_000)
}

async function waitForJobs (caller: SoakCaller, jobs: readonly SoakJob[], timeoutMs: number): Promise<void> {
  const untilMs = Date.now() + timeoutMs
  let open = jobs.filter(isAccepted)
  while (open.length > 0 && Date.now() < untilMs) {
    await Promise.all(open.map(async job => { await caller.poll(job) }))
    open = open.filter(({ state }) => state === undefined || state === 'queued' || state === 'active')
    await delay(pollMs)
  }
}

/** Compares the responses that callers got with what the workers ran. */
function findViolations (jobs: readonly SoakJob[], emulator: PlatformEmulator): readonly string[] {
  const violations: string[] = []
  for (const job of jobs) {
    const { jobId } = job.spec
    const starts = [...emulator.poolState.starts].filter(([task]) => task.startsWith(jobId)).length
    if (job.outcome === SubmissionOutcome.Rejected && starts > 0) violations.push(`${jobId} was rejected at every attempt but has run`)
    if (job.isCancelledUnstored === true && (starts > 0 || isAccepted(job))) violations.push(`${jobId} is ${job.outcome} and has run ${starts} tasks although its cancellation was answered with 410`)
    if (!isAccepted(job)) continue
    const isCancelled = job.cancelledAtMs !== undefined
    const hasExpectedEnd = job.state === 'complete' || (isCancelled && job.state === 'canceled') || (job.state === 'failed' && hasCauseToFail(emulator.poolState, jobId, job.spec.attemptLimit))
    if (job.isGone) violations.push(`${jobId} was accepted but is unknown`)
    if (!hasExpectedEnd) violations.push(`${jobId} was ${isCancelled ? 'cancelled' : 'accepted'} and is "${job.state}" at the end${job.state === 'failed' ? ', without cause' : ''}`)
    if (isCancelled && isRunning(job.spec, emulator) && Date.now() - (job.cancelledAtMs ?? 0) > cancelGraceMs) violations.push(`${jobId} was cancelled and still runs`)
  }
  return violations
}

/** What the store must show once it is in order: each host in the directory, and no write that could have replaced a newer value. */
function findStoreViolations ({ store }: PlatformEmulator, { hosts }: DaemonProcesses): readonly string[] {
  const missing = hosts.filter(({ name }) => store.peek(hostsPrefix + name) === undefined)
  return [...missing.map(({ name }) => `${name} is missing in the directory`), ...store.getUnguardedKeys().map(key => `${key} was written without a condition on its revision`)]
}

function isRunning ({ jobId }: JobSpec, { poolState }: PlatformEmulator): boolean {
  return [...poolState.running].some(([task, places]) => task.startsWith(jobId) && places.length > 0)
}

const { values } = parseArgs({ options: { seeds: { type: 'string', default: '1' }, seconds: { type: 'string', default: '15' }, departures: { type: 'string', default: '' } }, strict: false })
const allDepartures = Object.values(DepartureKind)
const isMain = process.argv[1]?.endsWith('platformSoak.js') === true
if (isMain) {
  let failed = 0
  for (const seed of String(values.seeds).split(',').map(Number)) {
    const report = await runPlatformSoak(seed, Number(values.seconds), values.departures === 'all' ? allDepartures : allDepartures.filter(kind => String(values.departures).split(',').includes(kind)))
    if (report.broken.length > 0) failed++
    console.log(JSON.stringify({ ...report, faults: report.broken.length > 0 || report.departures > 0 ? report.faults : report.faults.length }))
  }
  process.exit(failed === 0 ? 0 : 1)
}
