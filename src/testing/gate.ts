/** Fault injection into the calls that a scheduler makes: a crash, a freeze or a lost response at any chosen call. */

/** The fault to inject at the chosen call. */
export enum CallFault {
  /** The process crashes before the call is sent. */
  CrashBefore = 'crash-before',
  /** The process crashes after the call took effect and before the response arrives. */
  CrashAfter = 'crash-after',
  /** The call takes effect and its response is lost. */
  LoseResponse = 'lose-answer',
  /** This call and all later ones are suspended until they are resumed. */
  Freeze = 'freeze'
}

/** Forwards calls, and injects its fault at one of them. Later calls do not return after a crash, or wait while frozen. */
export interface FaultInjector {
  run<T> (name: string, call: () => Promise<T>): Promise<T>
  /** The names of all calls so far. */
  readonly calls: readonly string[]
  isTriggered (): boolean
  /** Triggers the fault at the next call. */
  triggerAtNextCall (): void
  /** Resumes the calls that a freeze has suspended. */
  resume (): void
}

/** Injects the fault at the call with the index `faultCallIndex`, counted from 0; `onFault` runs when it is triggered. */
export function createFaultInjector (faultCallIndex: number, fault: CallFault, createLostResponseError: () => Error, onFault: () => void): FaultInjector {
  const calls: string[] = []
  const resumeCallbacks: (() => void)[] = []
  let isTriggered = false
  let isResumed = false
  let nextFaultIndex = faultCallIndex

  return {
    run: intercept,
    calls,
    isTriggered: () => isTriggered,
    triggerAtNextCall: () => { nextFaultIndex = calls.length },
    resume: () => {
      isResumed = true
      for (const resume of resumeCallbacks) resume()
    }
  }

  async function intercept<T> (name: string, call: () => Promise<T>): Promise<T> {
    const isCrash = fault === CallFault.CrashBefore || fault === CallFault.CrashAfter
    if (isTriggered && isCrash) return await new Promise<T>(() => {})
    if (isTriggered && fault === CallFault.Freeze && !isResumed) await new Promise<void>(resolve => resumeCallbacks.push(resolve))
    const isFaultCall = calls.push(name) - 1 === nextFaultIndex
    if (!isFaultCall) return await call()
    isTriggered = true
    onFault()
    if (fault === CallFault.CrashBefore) return await new Promise<T>(() => {})
    if (fault === CallFault.Freeze) await new Promise<void>(resolve => resumeCallbacks.push(resolve))
    const result = await call()
    if (fault === CallFault.CrashAfter) return await new Promise<T>(() => {})
    if (fault === CallFault.LoseResponse) throw createLostResponseError()
    return result
  }
}
