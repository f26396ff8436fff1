/** The daemon of one host on the platform: reads the settings and puts the parts together. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { createLogger } from '../common/logger.js'
import { delay } from '../common/time.js'
import { createConfigurationReplica } from '../configuration/configurationReplica.js'
import { createLeaderElection } from '../election/leaderElection.js'
import type { Term } from '../election/leaderElection.js'
import { createJobIntake } from '../jobs/jobIntake.js'
import { createScheduler } from '../runs/scheduler.js'
import type { Scheduler } from '../runs/scheduler.js'
import { createUpkeepWaves } from '../upkeep/upkeepWaves.js'
import { createWorkerList } from '../workers/workerList.js'
import { createWireCallers } from './wireCallers.js'
import { configurationKey, tryDecodeConfiguration } from './wireConfiguration.js'
import { loadPlatformSettings } from './wireSettings.js'
import { createWireAdvice, createWireMachines, encodeWaveStatus, tryDecodeWave, wavePrefix, waveStatusPrefix } from './wireServices.js'
import { createWireStore } from './wireStore.js'
import { createWireWorker } from './wireWorker.js'
import { tryDecodeWorker, workerListPrefix } from './wireWorkerList.js'

/** The host serves on for so long after it has said that it leaves, in ms: the platform notices two misses, 1 s apart. */
const leaveNoticeMs = 2_600
/** It ends so long before the platform kills it, in ms. */
const killMarginMs = 1_200

const settings = loadPlatformSettings()
const logger = createLogger({ level: 'info' }, { host: settings.hostId })
const stopping = new AbortController()
const store = createWireStore(settings.storeAddress)
let scheduler: Scheduler | undefined

const configuration = createConfigurationReplica({
  store,
  logger: logger.part('configuration'),
  key: configurationKey,
  decode: tryDecodeConfiguration,
  onChanged: () => { scheduler?.refresh() },
  signal: stopping.signal
})
const intake = createJobIntake({ store, logger: logger.part('jobs') })
const election = createLeaderElection({ store, hostId: settings.hostId, logger: logger.part('election'), random: Math.random, onElected: startTerm })
const handle = createWireCallers({ getConfiguration: configuration.get, intake, logger: logger.part('callers'), isStopping: () => stopping.signal.aborted })
const callers = listen(settings.callersAddress, createServer((request, response) => { void handle(request, response) }))
listen(settings.readyAddress, createServer((_request, response) => {
  const isReady = configuration.get() !== undefined && configuration.isStoreReached() && !stopping.signal.aborted
  response.writeHead(isReady ? 200 : 503).end()
}))
process.on('SIGTERM', () => { void stop() })
process.on('SIGHUP', () => { logger.info('the settings are read again') })
logger.info('the host has started', { ...settings, upMs: Math.round(process.uptime() * 1_000) })

function startTerm (term: Term): void {
  const getWorkers = createWorkerList({
    store,
    logger: logger.part('workers'),
    prefix: workerListPrefix,
    decode: tryDecodeWorker,
    onChanged: () => { scheduler?.refresh() },
    signal: term.signal
  })
  scheduler = createScheduler({
    term,
    store,
    logger: logger.part('scheduler'),
    bounds: settings,
    getWorkers,
    connect: createWireWorker,
    getConfiguration: configuration.get,
    ...(settings.adviceAddress === undefined ? {} : { advice: createWireAdvice(settings.adviceAddress) })
  })
  if (settings.machinesAddress === undefined) return
  const { tryEmpty, giveBack } = scheduler
  createUpkeepWaves({
    store,
    term,
    logger: logger.part('upkeep'),
    hostId: settings.hostId,
    machines: createWireMachines(settings.machinesAddress),
    wavePrefix,
    statusPrefix: waveStatusPrefix,
    decodeWave: tryDecodeWave,
    encodeStatus: encodeWaveStatus,
    holderPauseMs: settings.holderPauseMs,
    tryEmpty,
    giveBack
  })
}

function listen (address: string | undefined, server: Server): Server {
  const [host, port] = (address ?? '').split(':')
  server.keepAliveTimeout = 60_000
  if (address !== undefined) server.listen(Number(port), host)
  return server
}

/** A planned stop: not ready, the term handed over, callers served until the platform sends them elsewhere. */
async function stop (): Promise<void> {
  if (stopping.signal.aborted) return
  logger.info('the host stops')
  stopping.abort()
  await election.stop()
  await delay(leaveNoticeMs)
  const closed = new Promise<void>(resolve => { callers.close(() => { resolve() }) })
  callers.closeIdleConnections()
  await Promise.race([closed, delay(settings.graceMs - leaveNoticeMs - killMarginMs)])
  logger.info('the host has stopped')
  process.exit(0)
}
