/** Runtime assertions. A failed assertion is a bug in the program, never a consequence of invalid input. */
import { createError, ErrorKind } from '../errors/errorKinds.js'

let failureCount = 0
let lastFailure: string | undefined

/** Throws an `internal` error when the condition does not hold, and counts the failure. */
export function assert (condition: unknown, message: string): asserts condition {
  if (condition) return
  failureCount++
  lastFailure = message
  throw createError(ErrorKind.Internal, `invariant violated: ${message}`)
}

/** Returns the number of failed assertions since the process started. */
export function getAssertionFailureCount (): number {
  return failureCount
}

/** Returns the message of the most recent failed assertion, if any. */
export function getLastAssertionFailure (): string | undefined {
  return lastFailure
}
