/** When failed polls of a worker are repeated. */

/** The pause before a poll, and the time allowed for its answer beyond its wait, both in ms; without it, the usual time. */
export interface FastRetry {
  readonly pauseMs: number
  readonly answerTimeoutMs?: number
}

/**
 * The first polls after a lost answer: the pause before each, and the time allowed for its answer, in ms. An end that the worker lists is gone if it crashes
 * before a poll is answered, and the task runs again. A few round trips between regions suffice for an answer; the third poll has the usual time, for slow links.
 */
export const fastRetries: readonly FastRetry[] = [
  { pauseMs: 0, answerTimeoutMs: 150 },
  { pauseMs: 50, answerTimeoutMs: 150 },
  { pauseMs: 100 }
]

/** Pause after a failed poll, in ms: the end of a brief connection loss is detected within it. */
export const retryPauseMs = 300
