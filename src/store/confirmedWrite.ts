/** Compare-and-swap that recognises its own write when the answer was lost. */
import { createError, ErrorKind, isErrorOfKind } from '../errors/errorKinds.js'
import type { Store, StoreWrite } from './store.js'

const maxReadAttempts = 4

/**
 * Writes one key and returns its revision. The value must hold an id of this write, so that equal text
 * proves authorship. Errors: `conflict`, `store-unavailable` (nothing written), `answer-lost` (still unknown).
 */
export async function putConfirmed (store: Store, write: StoreWrite): Promise<number> {
  try {
    return await store.put(write)
  } catch (error) {
    if (!isErrorOfKind(error, ErrorKind.AnswerLost, ErrorKind.Conflict)) throw error
    const isLost = isErrorOfKind(error, ErrorKind.AnswerLost)
    return await resolveWrite(store, write, isLost)
  }
}

async function resolveWrite (store: Store, write: StoreWrite, isLost: boolean): Promise<number> {
  for (let attempt = 0; attempt < maxReadAttempts; attempt++) {
    try {
      const entry = await store.get(write.key)
      if (entry?.value === write.value) return entry.revision
      const isUnchanged = (entry?.revision ?? 0) === write.expectedRevision
      if (isLost && isUnchanged) return await store.put(write)
      throw createError(ErrorKind.Conflict, `the key ${write.key} was changed by another writer`)
    } catch (error) {
      if (isErrorOfKind(error, ErrorKind.AnswerLost)) isLost = true
      else if (!isErrorOfKind(error, ErrorKind.StoreUnavailable)) throw error
    }
  }
  throw createError(ErrorKind.AnswerLost, `it is unknown whether the write to ${write.key} took effect`)
}
