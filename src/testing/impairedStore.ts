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
  /** Share of the writes, leases included, that are not answered; 0 by default. They are executed, after `lateWriteMs` if that is given. */
  lostWrites?: number
  /** Bounds of the delay with which a write without an answer is executed, in ms. */
  lateWriteMs?: readonly [number, number]
  /** Share of the packets that are lost, in each direction; each loss delays the call by a retransmission. */
  lostPackets: number
}

/** Time after which a call without an answer fails, in ms: that of the HTTP client of the store. */
const callTimeoutMs = 900
/** Time after which a lost packet is sent again, in ms, doubled for each further loss: the usual minimum of TCP. */
const retransmissionMs = 200
const writeCalls: ReadonlySet<keyof MetadataStore> = new Set(['transact', 'grantLease', 'keepLeaseAlive', 'revokeLease'] as const)

/** Impairs all calls of a client; watches only by the round trip and by packet loss. */
export function createImpairedStore (client: MetadataStore, impairment: Impairment, random: Random): MetadataStore {
  return new Proxy(client, {
    get: (target, name: keyof MetadataStore) => async (...parameters: never[]) => {
      const call = (): Promise<unknown> => (target[name] as (...values: never[]) => Promise<unknown>)(...parameters)
      if (name === 'watch') return await impair(call)
      if (writeCalls.has(name) && random() < (impairment.lostWrites ?? 0)) return await Promise.race([loseWrite(call), timeOut()])
      return await Promise.race([impair(call, impairment.lostAnswers), timeOut()])
    }
  })

  async function impair (call: () => Promise<unknown>, lostAnswers = 0): Promise<unknown> {
    await transmit()
    const result = await call()
    if (random() < lostAnswers) return await new Promise(() => {})
    await transmit()
    return result
  }

  async function loseWrite (call: () => Promise<unknown>): Promise<never> {
    await transmit()
    const [fromMs, toMs] = impairment.lateWriteMs ?? [0, 0]
    await delay(fromMs + (toMs - fromMs) * random())
    // A late write may be refused, which nobody learns.
    await call().catch(() => {})
    return await new Promise(() => {})
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
