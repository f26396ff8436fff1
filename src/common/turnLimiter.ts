/** Limits how many calls begin in one turn of the event loop, so that timers and responses are handled between the calls of a long queue. */

/** The queue of the calls that wait to begin. */
export interface TurnLimiter {
  /** Resolves in one of the next turns, when the call for the key may begin. Never rejects. */
  wait (key: string): Promise<void>
}

/** The limit, and the order of the calls. */
export interface TurnLimiterOptions {
  readonly maxPerTurn: number
  /** Tells, in the turn after that in which a call is queued, whether it comes before those that are not urgent. */
  readonly isUrgent: (key: string) => boolean
}

interface WaitingCall {
  readonly key: string
  readonly begin: () => void
}

/** Creates an empty queue. Calls of equal urgency begin in the order in which they were queued. */
export function createTurnLimiter ({ maxPerTurn, isUrgent }: TurnLimiterOptions): TurnLimiter {
  let added: WaitingCall[] = []
  const urgent = createQueue()
  const others = createQueue()
  let isScheduled = false

  return { wait }

  function wait (key: string): Promise<void> {
    return new Promise(resolve => {
      added.push({ key, begin: resolve })
      schedule()
    })
  }

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(beginNext)
  }

  function beginNext (): void {
    isScheduled = false
    for (const call of added) (isUrgent(call.key) ? urgent : others).push(call)
    added = []
    for (let begun = 0; begun < maxPerTurn; begun++) {
      const call = urgent.shift() ?? others.shift()
      if (call === undefined) return
      call.begin()
    }
    schedule()
  }
}

/** A queue whose removals take constant time: `Array.shift` moves all entries of a long array. */
function createQueue (): { push (call: WaitingCall): void, shift (): WaitingCall | undefined } {
  const calls = new Set<WaitingCall>()
  return {
    push: call => { calls.add(call) },
    shift: () => {
      const [first] = calls
      if (first !== undefined) calls.delete(first)
      return first
    }
  }
}
