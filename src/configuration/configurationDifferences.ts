/** Describes the differences between two versions of the configuration, in operators' terms. Does no I/O. */
import type { Configuration, OrganisationSettings, QueueSettings } from './configuration.js'

/** One difference. A value is undefined where the entry does not exist in that version. */
export interface ConfigurationDifference {
  /** What has changed, such as `queue "batch": priority`. */
  readonly subject: string
  readonly before?: string
  readonly after?: string
}

/** Returns the differences: of queues, then organisations, then limits. API keys are counted, not shown, since they are credentials. */
export function findDifferences (before: Configuration, after: Configuration): readonly ConfigurationDifference[] {
  return [
    ...compareEntries('queue', before.queues, after.queues, describeQueue),
    ...compareEntries('organisation', before.organisations, after.organisations, describeOrganisation),
    ...findKeyDifferences(before.organisations, after.organisations),
    ...compareValues('all guarantees', `${sumGuarantees(before)} accelerators`, `${sumGuarantees(after)} accelerators`),
    ...compareValues('body of a request', `at most ${before.limits.maxBodyBytes} bytes`, `at most ${after.limits.maxBodyBytes} bytes`)
  ]
}

/** Formats a difference as one line. */
export function formatDifference ({ subject, before, after }: ConfigurationDifference): string {
  if (before === undefined) return `+ ${subject}: ${after}`
  return after === undefined ? `- ${subject}: ${before}` : `~ ${subject}: ${before} -> ${after}`
}

function compareEntries<T extends { readonly name: string }> (
  kind: string, before: readonly T[], after: readonly T[], describe: (entry: T) => Readonly<Record<string, string>>
): readonly ConfigurationDifference[] {
  const beforeByName = new Map(before.map(entry => [entry.name, entry]))
  const afterByName = new Map(after.map(entry => [entry.name, entry]))
  return [...new Set([...beforeByName.keys(), ...afterByName.keys()])].flatMap(name => {
    const left = beforeByName.get(name)
    const right = afterByName.get(name)
    const subject = `${kind} "${name}"`
    if (left === undefined || right === undefined) {
      return [{ subject, ...(left === undefined ? {} : { before: summarize(describe(left)) }), ...(right === undefined ? {} : { after: summarize(describe(right)) }) }]
    }
    const rightFields = describe(right)
    return Object.entries(describe(left)).flatMap(([field, value]) => compareValues(`${subject}: ${field}`, value, rightFields[field] ?? ''))
  })
}

function compareValues (subject: string, before: string, after: string): readonly ConfigurationDifference[] {
  return before === after ? [] : [{ subject, before, after }]
}

function summarize (fields: Readonly<Record<string, string>>): string {
  return Object.entries(fields).map(([field, value]) => `${field} ${value}`).join(', ')
}

function describeQueue (queue: QueueSettings): Readonly<Record<string, string>> {
  const { advice } = queue
  return {
    address: `${queue.hostName}${queue.pathPrefix}`,
    service: queue.service,
    priority: String(queue.priority),
    attempts: String(queue.attempts),
    objective: `${queue.objectiveFactor} times the run time plus ${queue.objectiveMs} ms`,
    'time-out': `${queue.timeoutMs} ms`,
    'API key': queue.isPublic ? 'not required' : 'required',
    advice: advice === undefined ? 'none' : `${advice.decideMs} ms plus ${advice.perWorkerMs} ms for each worker (valid for ${advice.validMs} ms)`
  }
}

function describeOrganisation ({ guaranteedAccelerators }: OrganisationSettings): Readonly<Record<string, string>> {
  return { guarantee: `${guaranteedAccelerators} accelerators` }
}

function findKeyDifferences (before: readonly OrganisationSettings[], after: readonly OrganisationSettings[]): readonly ConfigurationDifference[] {
  const beforeKeys = getKeysByName(before)
  const afterKeys = getKeysByName(after)
  return [...new Set([...beforeKeys.keys(), ...afterKeys.keys()])].flatMap(name => {
    const left = beforeKeys.get(name) ?? new Set()
    const right = afterKeys.get(name) ?? new Set()
    const removed = [...left].filter(key => !right.has(key)).length
    const added = [...right].filter(key => !left.has(key)).length
    const subject = `organisation "${name}": API keys`
    return [
      ...removed === 0 ? [] : [{ subject, before: `${removed} removed` }],
      ...added === 0 ? [] : [{ subject, after: `${added} added` }]
    ]
  })
}

function getKeysByName (organisations: readonly OrganisationSettings[]): ReadonlyMap<string, ReadonlySet<string>> {
  return new Map(organisations.map(({ name, keys }) => [name, new Set(keys)]))
}

function sumGuarantees ({ organisations }: Configuration): number {
  return organisations.reduce((sum, { guaranteedAccelerators }) => sum + guaranteedAccelerators, 0)
}
