/** A store that is sometimes out, and loses some answers after the write took effect. */
import { createRandom } from '../common/random.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { Store } from '../store/store.js'

const outShare = 0.1
const lostShare = 0.3

/** Puts the faults in front of a store, by seed. */
export function createBadStore (store: Store, seed: number): Store {
  const random = createRandom(seed)
  return {
    ...store,
    put: async write => {
      if (random() < outShare) throw createError(ErrorKind.StoreUnavailable, 'out')
      const revision = await store.put(write)
      if (random() < lostShare) throw createError(ErrorKind.AnswerLost, 'lost')
      return revision
    },
    get: async key => {
      if (random() < outShare) throw createError(ErrorKind.StoreUnavailable, 'out')
      return await store.get(key)
    }
  }
}
