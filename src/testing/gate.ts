/** A gate between a scheduler and the outside: it can crash, freeze, or lose an answer at any call. */

/** What happens at the chosen call. */
export enum GateFault {
  /** The process ends before the call leaves. */
  CrashBefore = 'crash-before',
  /** The process ends after the call took effect and before its answer. */
  CrashAfter = 'crash-after',
  /** The call takes effect and its answer is lost. */
  LoseAnswer = 'lose-answer',
  /** The process stands still from this call on, until it is thawed. */
  Freeze = 'freeze'
}

/** Passes calls on until its fault strikes. */
export interface Gate {
  pass<T> (name: string, call: () => Promise<T>): Promise<T>
  /** The names of all calls so far. */
  readonly calls: readonly string[]
  hasStruck (): boolean
  /** Lets the fault strike at the next call. */
  strikeNow (): void
  thaw (): void
}

/** Creates a gate whose fault strikes at the call with this number, counted from 0. */
export function createGate (strikeAt: number, fault: GateFault, createLostError: () => Error, onStrike: () => void): Gate {
  const calls: string[] = []
  const frozen: (() => void)[] = []
  let isStruck = false
  let isThawed = false
  let nextStrike = strikeAt

  return {
    pass,
    calls,
    hasStruck: () => isStruck,
    strikeNow: () => { nextStrike = calls.length },
    thaw: () => {
      isThawed = true
      for (const go of frozen) go()
    }
  }

  async function pass<T> (name: string, call: () => Promise<T>): Promise<T> {
    const isCrash = fault === GateFault.CrashBefore || fault === GateFault.CrashAfter
    if (isStruck && isCrash) return await new Promise<T>(() => {})
    if (isStruck && fault === GateFault.Freeze && !isThawed) await new Promise<void>(resolve => frozen.push(resolve))
    const isHere = calls.push(name) - 1 === nextStrike
    if (!isHere) return await call()
    isStruck = true
    onStrike()
    if (fault === GateFault.CrashBefore) return await new Promise<T>(() => {})
    if (fault === GateFault.Freeze) await new Promise<void>(resolve => frozen.push(resolve))
    const result = await call()
    if (fault === GateFault.CrashAfter) return await new Promise<T>(() => {})
    if (fault === GateFault.LoseAnswer) throw createLostError()
    return result
  }
}
