/** A store client for tests with slow answers, lost answers and packet loss that can be changed while it is in use. */
import { delay } from '../common/time.js'
import type { Random } from '../common/random.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { MetadataStore } from '../store/metadataStore.js'

/** What impairs the calls. */
export interface Impairment {
  /** Round trip, in ms: half passes before the store executes the call, half after it. */
  roundTripMs: number
  /** Share of the answers that never arrive although the calls are executed. */
  lostAnswers: number
  /** Share of the packets that are lost, in each direction; each loss delays the call by a retransmission. */
  lostPackets: number
}

/** Time after which a call without an answer fails, in ms: that of the HTTP client of the store. */
const callTimeoutMs = 900
/** Time after which a lost packet is sent again, in ms, doubled for each further loss: the usual minimum of TCP. */
const retransmissionMs = 200

/** Impairs all calls of a client; watches only by the round trip and by packet loss. */
export function createImpairedStore (client: MetadataStore, impairment: Impairment, random: Random): MetadataStore {
  return new Proxy(client, {
    get: (target, name: keyof MetadataStore) => async (...parameters: never[]) => {
      const call = (): Promise<unknown> => (target[name] as (...values: never[]) => Promise<unknown>)(...parameters)
      return await (name === 'watch' ? impair(call) : Promise.race([impair(call, impairment.lostAnswers), timeOut()]))
    }
  })

  async function impair (call: () => Promise<unknown>, lostAnswers = 0): Promise<unknown> {
    await transmit()
    const result = await call()
    if (random() < lostAnswers) return await new Promise(() => {})
    await transmit()
    return result
  }

  async function transmit (): Promise<void> {
    let delayMs = impairment.roundTripMs / 2
    for (let pauseMs = retransmissionMs; random() < impairment.lostPackets; pauseMs *= 2) delayMs += pauseMs
    if (delayMs > 0) await delay(delayMs)
  }

  async function timeOut (): Promise<never> {
    await delay(callTimeoutMs)
    throw createError(ErrorKind.AnswerLost, `no response within ${callTimeoutMs} ms`)
  }
}
