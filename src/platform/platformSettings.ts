/** Reads the settings file that the platform provides for each process. */
import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import * as z from 'zod/mini'
import { isAddress } from '../common/address.js'
import { defaultCostSettings } from '../placement/delayCost.js'
import type { CostSettings } from '../placement/delayCost.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import { defaultMaxTasksPerJob, maxScheduledTasks } from '../jobs/jobSize.js'

/** The least bound of an evacuation, in ms: with a shorter one, a single failed read of the store would interrupt all starts. */
const minEvacuationBoundMs = 2_500
/** The contract under which operators request evacuations of failure domains. */
const evacuationContract = 'places'

const addressSchema = z.string().check(z.refine(isAddress, 'must be host:port'))
/** Run times and waits are estimates, and a refusal must not rest on their errors. The value is that of docs/design/scarcity-and-evacuation.md. */
const defaultRefusalMargin = 1.25
/** The limits of a process where the platform names none: those of its smaller deployments. */
const defaultMemoryMb = 350
const defaultMaxDescriptors = 4_100
/** The store's limit of writes where the platform names none: that of its smaller deployments. */
const defaultStoreWritesPerS = 400
const settingsSchema = z.object({
  node: z.string(),
  ip: z._default(z.string(), '127.0.0.1'),
  zone: z.string(),
  region: z._default(z.string(), ''),
  contracts: z._default(z.array(z.string()), []),
  portRange: z._default(z.tuple([z.int(), z.int()]), [7_000, 7_015]),
  listen: z.object({ front: z.optional(addressSchema), ready: z.optional(addressSchema), control: z.optional(addressSchema) }),
  limits: z._default(z.object({
    cpuShare: z._default(z.number(), 1),
    linkMbps: z._default(z.number(), 1_000),
    memoryMb: z._default(z.number().check(z.positive()), defaultMemoryMb),
    maxFds: z._default(z.number().check(z.positive()), defaultMaxDescriptors)
  }), { cpuShare: 1, linkMbps: 1_000, memoryMb: defaultMemoryMb, maxFds: defaultMaxDescriptors }),
  bounds: z.object({
    configMs: z._default(z.number(), 2_500),
    drainMs: z._default(z.number(), 2_500),
    graceS: z._default(z.number(), 6),
    holdMaxMs: z._default(z.number(), 6_000),
    stopMs: z._default(z.number(), 400),
    status_s: z._default(z.number(), 120),
    reclaimMs: z._default(z.number(), 2_900),
    noticeMs: z._default(z.number(), 5_500),
    leaseMs: z._default(z.number(), 3_000),
    evacMs: z._default(z.number().check(z.gte(minEvacuationBoundMs)), 5_000)
  }),
  platform: z.object({ addr: addressSchema, ttlMinMs: z.optional(z.int().check(z.positive())), writesPerS: z._default(z.number().check(z.positive()), defaultStoreWritesPerS) }),
  cloud: z.optional(z.object({ addr: addressSchema })),
  advice: z.optional(z.string()),
  policy: z._default(z.object({
    refuseForLoad: z._default(z.boolean(), true),
    refusalMargin: z._default(z.number().check(z.minimum(1), z.maximum(10)), defaultRefusalMargin),
    priorityRatio: z._default(z.number().check(z.minimum(1), z.maximum(100)), defaultCostSettings.priorityRatio),
    baseValueCoreS: z._default(z.number().check(z.nonnegative()), defaultCostSettings.baseValueCoreS),
    maxTasksPerJob: z._default(z.int().check(z.minimum(1), z.maximum(maxScheduledTasks)), defaultMaxTasksPerJob)
  }), { refuseForLoad: true, refusalMargin: defaultRefusalMargin, ...defaultCostSettings, maxTasksPerJob: defaultMaxTasksPerJob })
})

/** The settings of one process. Unknown fields of the file are ignored. */
export interface PlatformSettings {
  readonly hostId: string
  readonly domain: string
  readonly ipAddress: string
  readonly callersAddress: string | undefined
  readonly readyAddress: string | undefined
  readonly storeAddress: string
  /** The shortest time to live of a lease that the store grants, in ms. */
  readonly storeMinTtlMs: number | undefined
  /** The writes that the store accepts from all hosts together, per second. */
  readonly storeWritesPerS: number
  /** The port on which this host accepts calls from its peers. */
  readonly peersPort: number
  readonly cpuShare: number
  readonly linkMbps: number
  /** The memory at which the platform ends the process, in MB. */
  readonly memoryMb: number
  readonly maxDescriptors: number
  /** Time after which a configuration that the store has acknowledged is in force on every host, in ms. */
  readonly configurationBoundMs: number
  /** Time after which no work starts any more on a worker that has announced that it drains, in ms. */
  readonly drainNoticeMs: number
  /** Time after which no work starts any more in a failure domain whose evacuation the store has acknowledged, in ms; undefined if the deployment has no evacuations. */
  readonly evacuationBoundMs: number | undefined
  readonly graceMs: number
  readonly maxLeaseMs: number
  /** The longest time that a worker takes to stop a run, in ms. */
  readonly stopMs: number
  readonly retentionMs: number
  readonly reclaimMs: number
  readonly noticeMs: number
  /** Minimum time between maintenance requests for a machine from different schedulers ("holders"), in ms. */
  readonly holderPauseMs: number
  readonly adviceAddress: string | undefined
  readonly machinesAddress: string | undefined
  /** Submissions that would complete too late to have any value are refused. */
  readonly refusesForLoad: boolean
  /** The factor by which the estimated completion must exceed that time before a job is refused. */
  readonly refusalMargin: number
  /** The most tasks of a job that is accepted, in all steps and occurrences together. */
  readonly maxTasksPerJob: number
  /** How what callers lose by a delay is weighed. */
  readonly costSettings: CostSettings
}

/** The environment variable with the path of the settings file. */
export const settingsVariable = 'SASSAFRASFORD_NODE_FILE'
const defaultFile = '/etc/sassafrasford/node.toml'

/** Reads the settings. Errors (`bad-request`) name the file and the field. */
export function loadPlatformSettings (file = process.env[settingsVariable] ?? defaultFile): PlatformSettings {
  const parsed = settingsSchema.safeParse(parse(readFileSync(file, 'utf8')))
  if (!parsed.success) {
    const issue = parsed.error.issues[0]
    throw createError(ErrorKind.BadRequest, `${file}: setting "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'malformed'}`)
  }
  const { node, ip, zone, contracts, portRange, listen, limits, bounds, platform, cloud, advice, policy } = parsed.data
  return {
    hostId: node,
    domain: zone,
    ipAddress: ip,
    callersAddress: listen.front,
    readyAddress: listen.ready,
    storeAddress: platform.addr,
    storeMinTtlMs: platform.ttlMinMs,
    storeWritesPerS: platform.writesPerS,
    peersPort: portRange[1],
    cpuShare: limits.cpuShare,
    linkMbps: limits.linkMbps,
    memoryMb: limits.memoryMb,
    maxDescriptors: limits.maxFds,
    configurationBoundMs: bounds.configMs,
    drainNoticeMs: bounds.drainMs,
    evacuationBoundMs: contracts.includes(evacuationContract) ? bounds.evacMs : undefined,
    graceMs: bounds.graceS * 1_000,
    maxLeaseMs: bounds.holdMaxMs,
    stopMs: bounds.stopMs,
    retentionMs: bounds.status_s * 1_000,
    reclaimMs: bounds.reclaimMs,
    noticeMs: bounds.noticeMs,
    holderPauseMs: bounds.leaseMs,
    adviceAddress: advice === undefined || advice === '' ? undefined : advice,
    machinesAddress: cloud?.addr,
    refusesForLoad: policy.refuseForLoad,
    refusalMargin: policy.refusalMargin,
    maxTasksPerJob: policy.maxTasksPerJob,
    costSettings: { priorityRatio: policy.priorityRatio, baseValueCoreS: policy.baseValueCoreS }
  }
}
