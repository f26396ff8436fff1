/** Reports the entries under a prefix of the store that are left out because they cannot be decoded: each once, and not at every read. */
import type { Logger } from '../common/logger.js'

/** The entries that are left out at present. */
export interface IgnoredEntries {
  /** Must be called after each read of all entries with the keys that were left out. */
  update (keys: readonly string[]): void
  count (): number
}

/** Creates the report. `description` says what was read, for the log, for example "the worker list". */
export function createIgnoredEntries (logger: Logger, description: string): IgnoredEntries {
  let ignored: ReadonlySet<string> = new Set()
  return {
    count: () => ignored.size,
    update: keys => {
      for (const key of keys) if (!ignored.has(key)) logger.warn(`an entry of ${description} cannot be decoded and is ignored`, { key })
      ignored = new Set(keys)
    }
  }
}
