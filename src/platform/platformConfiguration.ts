/** Decodes the operators' configuration from the platform's store. */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import type { Configuration, ConfigurationIssue, DecodedConfiguration } from '../configuration/configuration.js'

/** The store key of the configuration. */
export const configurationKey = 'op/config'

/** The most bytes of a body where the configuration names no limit. */
export const defaultMaxBodyBytes = 262_144

const adviceSchema = z.object({ decideMs: z.number(), eachMs: z.number(), validMs: z.number() })
const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  prefix: z.string(),
  service: z.string(),
  timeoutMs: z._default(z.number(), 3_000),
  sloMs: z._default(z.number(), 0),
  sloFactor: z._default(z.number(), 1),
  priority: z._default(z.number(), 0),
  attempts: z._default(z.number(), 1),
  public: z._default(z.boolean(), false),
  advice: z.optional(adviceSchema)
})
const tenantSchema = z.object({ name: z.string(), keys: z.array(z.string()), guaranteed: z.optional(z.object({ gpu: z.optional(z.number()) })) })
const configurationSchema = z.object({
  version: z.number(),
  routes: z._default(z.array(routeSchema), []),
  tenants: z._default(z.array(tenantSchema), []),
  limits: z._default(z.object({ maxBodyBytes: z._default(z.number(), defaultMaxBodyBytes) }), { maxBodyBytes: defaultMaxBodyBytes })
})

const versionSchema = z.object({ version: z.number() })

/** Decodes a configuration; undefined if it is malformed. */
export function tryDecodeConfiguration (value: string): Configuration | undefined {
  return decodeConfiguration(value).configuration
}

/** Decodes a stored value. Never throws. */
export function decodeConfiguration (value: string): DecodedConfiguration {
  const parsed = tryParseJson(value)
  const version = versionSchema.safeParse(parsed).data?.version
  return { ...decodeParsedConfiguration(parsed), ...(version === undefined ? {} : { version }) }
}

/** Decodes a configuration from parsed JSON. The configuration is undefined exactly if there are issues. */
export function decodeParsedConfiguration (value: unknown): { readonly configuration?: Configuration, readonly issues: readonly ConfigurationIssue[] } {
  const parsed = configurationSchema.safeParse(value)
  if (parsed.success) return { configuration: toConfiguration(parsed.data), issues: [] }
  return {
    issues: parsed.error.issues.map(issue => ({
      path: issue.path.map(step => typeof step === 'number' ? step : String(step)),
      expected: issue.code === 'invalid_type' ? issue.expected : issue.message
    }))
  }
}

function toConfiguration ({ version, routes, tenants, limits }: z.infer<typeof configurationSchema>): Configuration {
  return {
    version,
    limits,
    queues: routes.map(route => ({
      name: route.name,
      hostName: route.host,
      pathPrefix: route.prefix,
      service: route.service,
      priority: route.priority,
      attempts: route.attempts,
      objectiveFactor: route.sloFactor,
      objectiveMs: route.sloMs,
      timeoutMs: route.timeoutMs,
      isPublic: route.public,
      ...(route.advice === undefined ? {} : { advice: { decideMs: route.advice.decideMs, perWorkerMs: route.advice.eachMs, validMs: route.advice.validMs } })
    })),
    organisations: tenants.map(tenant => ({ name: tenant.name, keys: tenant.keys, guaranteedAccelerators: tenant.guaranteed?.gpu ?? 0 }))
  }
}
