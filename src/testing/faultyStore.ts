/** A store wrapper for tests: some calls fail, and some responses are lost after the write took effect. */
import { createRandom } from '../common/random.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { KeyValueStore } from '../store/store.js'

const unavailableProbability = 0.1
const lostResponseProbability = 0.3

/** Wraps a store with faults drawn from the seed. */
export function createFaultyStore (store: KeyValueStore, seed: number): KeyValueStore {
  const random = createRandom(seed)
  return {
    ...store,
    put: async write => {
      if (random() < unavailableProbability) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable')
      const revision = await store.put(write)
      if (random() < lostResponseProbability) throw createError(ErrorKind.AnswerLost, 'the response was lost after the write')
      return revision
    },
    get: async key => {
      if (random() < unavailableProbability) throw createError(ErrorKind.StoreUnavailable, 'the store is unavailable')
      return await store.get(key)
    }
  }
}
