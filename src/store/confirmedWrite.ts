/** Compare-and-swap that determines whether its write took effect when the response was lost. */
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { KeyValueStore, StoreWrite } from './store.js'

const maxResolveAttempts = 4

/**
 * Writes one key and returns its revision. The value must contain an id that is unique to this write, so that an equal
 * stored value proves that this write took effect. Errors: `conflict`; `store-unavailable` when nothing was written;
 * `answer-lost` when it is still unknown whether the write took effect.
 */
export async function putConfirmed (store: KeyValueStore, write: StoreWrite): Promise<number> {
  try {
    return await store.put(write)
  } catch (error) {
    if (!isErrorOfKind(error, ErrorKind.AnswerLost, ErrorKind.Conflict)) throw error
    const isResponseLost = isErrorOfKind(error, ErrorKind.AnswerLost)
    return await resolveWrite(store, write, isResponseLost)
  }
}

async function resolveWrite (store: KeyValueStore, write: StoreWrite, isResponseLost: boolean): Promise<number> {
  for (let attempt = 0; attempt < maxResolveAttempts; attempt++) {
    try {
      const entry = await store.get(write.key)
      if (entry?.value === write.value) return entry.revision
      const isUnchanged = (entry?.revision ?? 0) === write.expectedRevision
      if (isResponseLost && isUnchanged) return await store.put(write)
      throw createError(ErrorKind.Conflict, `key ${write.key} was modified by another writer`)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.AnswerLost)) isResponseLost = true
      else if (!isErrorOfKind(error, ErrorKind.StoreUnavailable)) throw error
    }
  }
  throw createError(ErrorKind.AnswerLost, `cannot determine whether the write to ${write.key} took effect`)
}
