/** Decodes the operators' configuration from the platform's store. */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import type { Configuration, ConfigurationIssue, DecodedConfiguration, OrganisationSettings, QueueSettings, UndecodedOrganisation, UndecodedQueue } from '../configuration/configuration.js'

/** The store key of the configuration. */
export const configurationKey = 'op/config'

/** The most bytes of a body where the configuration names no limit. */
export const defaultMaxBodyBytes = 262_144

const defaultTimeoutMs = 3_000

// The platform omits members whose value is 0, false or empty, and some encoders write null instead.
const adviceSchema = z.object({ decideMs: z.nullish(z.number()), eachMs: z.nullish(z.number()), validMs: z.nullish(z.number()) })
const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  timeoutMs: z.nullish(z.number()),
  sloMs: z.nullish(z.number()),
  sloFactor: z.nullish(z.number()),
  priority: z.nullish(z.number()),
  attempts: z.nullish(z.number()),
  public: z.nullish(z.boolean()),
  advice: z.nullish(adviceSchema)
})
const tenantSchema = z.object({ name: z.string(), keys: z.nullish(z.array(z.string())), guaranteed: z.nullish(z.object({ gpu: z.nullish(z.number()) })) })
const limitsSchema = z.nullish(z.object({ maxBodyBytes: z.nullish(z.number()) }))
const configurationSchema = z.object({ version: z.number(), routes: z.nullish(z.array(z.unknown())), tenants: z.nullish(z.array(z.unknown())), limits: z.optional(z.unknown()) })

const versionSchema = z.object({ version: z.number() })
const queueAddressSchema = z.object({ host: z.string(), prefix: z.string() })
const keysSchema = z.object({ keys: z.array(z.string()) })

/** Decodes a configuration; undefined if the value as a whole is malformed. */
export function tryDecodeConfiguration (value: string): Configuration | undefined {
  return decodeConfiguration(value).configuration
}

/**
 * Decodes a stored value. Each entry that cannot be decoded is left out, with an issue: the platform accepts only valid configurations, so that the entry has a form that
 * this program does not know, and the others are in force all the same. Never throws.
 */
export function decodeConfiguration (value: string): DecodedConfiguration {
  return decodeValue(tryParseJson(value))
}

/** Decodes a configuration from parsed JSON. The configuration is undefined exactly if there are issues. */
export function decodeParsedConfiguration (value: unknown): { readonly configuration?: Configuration, readonly issues: readonly ConfigurationIssue[] } {
  const { configuration, issues } = decodeValue(value)
  return configuration === undefined || issues.length > 0 ? { issues } : { configuration, issues }
}

function decodeValue (value: unknown): DecodedConfiguration {
  const parsed = configurationSchema.safeParse(value)
  if (!parsed.success) {
    const version = versionSchema.safeParse(value).data?.version
    return { issues: toIssues([], parsed.error), ...(version === undefined ? {} : { version }) }
  }
  const { version } = parsed.data
  const queues = decodeEntries('routes', parsed.data.routes, routeSchema, toQueue, toUndecodedQueue)
  const organisations = decodeEntries('tenants', parsed.data.tenants, tenantSchema, toOrganisation, toUndecodedOrganisation)
  const limits = limitsSchema.safeParse(parsed.data.limits)
  return {
    version,
    configuration: {
      version,
      limits: { maxBodyBytes: limits.data?.maxBodyBytes ?? defaultMaxBodyBytes },
      queues: queues.entries,
      organisations: organisations.entries,
      ...(queues.undecoded.length + organisations.undecoded.length === 0 ? {} : { undecoded: { queues: queues.undecoded, organisations: organisations.undecoded } })
    },
    issues: [...queues.issues, ...organisations.issues, ...(limits.success ? [] : toIssues(['limits'], limits.error))]
  }
}

interface DecodedEntries<T, Undecoded> {
  readonly entries: readonly T[]
  readonly undecoded: readonly Undecoded[]
  readonly issues: readonly ConfigurationIssue[]
}

function decodeEntries<Wire, T, Undecoded> (member: string, values: readonly unknown[] | null | undefined, schema: z.ZodMiniType<Wire>, toEntry: (wire: Wire) => T, toUndecoded: (value: unknown) => Undecoded): DecodedEntries<T, Undecoded> {
  const entries: T[] = []
  const undecoded: Undecoded[] = []
  const issues: ConfigurationIssue[] = []
  for (const [index, value] of (values ?? []).entries()) {
    const parsed = schema.safeParse(value)
    if (parsed.success) {
      entries.push(toEntry(parsed.data))
      continue
    }
    undecoded.push(toUndecoded(value))
    issues.push(...toIssues([member, index], parsed.error))
  }
  return { entries, undecoded, issues }
}

function toIssues (parent: ConfigurationIssue['path'], error: z.core.$ZodError): readonly ConfigurationIssue[] {
  return error.issues.map(issue => ({
    path: [...parent, ...issue.path.map(step => typeof step === 'number' ? step : String(step))],
    expected: issue.code === 'invalid_type' ? issue.expected : issue.message
  }))
}

function toQueue (route: z.infer<typeof routeSchema>): QueueSettings {
  const { advice } = route
  return {
    name: route.name,
    hostName: route.host.toLowerCase(),
    pathPrefix: route.prefix,
    service: route.service,
    priority: route.priority ?? 0,
    attempts: route.attempts ?? 1,
    objectiveFactor: route.sloFactor ?? 1,
    objectiveMs: route.sloMs ?? 0,
    timeoutMs: route.timeoutMs ?? defaultTimeoutMs,
    isPublic: route.public ?? false,
    ...(advice === undefined || advice === null ? {} : { advice: { decideMs: advice.decideMs ?? 0, perWorkerMs: advice.eachMs ?? 0, validMs: advice.validMs ?? 0 } })
  }
}

function toUndecodedQueue (value: unknown): UndecodedQueue {
  const address = queueAddressSchema.safeParse(value).data
  return address === undefined ? {} : { address: { hostName: address.host.toLowerCase(), pathPrefix: address.prefix } }
}

function toOrganisation ({ name, keys, guaranteed }: z.infer<typeof tenantSchema>): OrganisationSettings {
  return { name, keys: keys ?? [], guaranteedAccelerators: guaranteed?.gpu ?? 0 }
}

function toUndecodedOrganisation (value: unknown): UndecodedOrganisation {
  const keys = keysSchema.safeParse(value).data?.keys
  return keys === undefined ? {} : { keys }
}
