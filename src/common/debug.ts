/** Checks inside the program. A failed check is a fault of the program, never of its input. */
import { createError, ErrorKind } from '../errors/errorKinds.js'

let failureCount = 0
let lastFailure: string | undefined

/** Throws when an invariant of the program does not hold, and counts the failure. */
export function assert (condition: unknown, message: string): asserts condition {
  if (condition) return
  failureCount++
  lastFailure = message
  throw createError(ErrorKind.Internal, `invariant violated: ${message}`)
}

/** Returns the number of failed checks since the process started. */
export function getAssertionFailureCount (): number {
  return failureCount
}

/** Returns the message of the newest failed check, if any. */
export function getLastAssertionFailure (): string | undefined {
  return lastFailure
}
