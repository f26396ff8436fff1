/** HTTP clients of the platform's advice and machine services, and the codec of maintenance waves. */
import * as z from 'zod/mini'
import { tryParseJson } from '../common/boundedJson.js'
import { createError, ErrorKind } from '../errors/errorKinds.js'
import type { AdvicePort } from '../runs/adviceCache.js'
import { MaintenanceResult } from '../maintenance/maintenanceWaves.js'
import type { ListedMachine, MachinePort, Wave } from '../maintenance/maintenanceWaves.js'
import { createHttpClient } from './httpClient.js'

/** Key prefix of the maintenance waves that operators request. */
export const wavePrefix = 'op/wave/'
/** Key prefix under which the state of a wave is published. */
export const waveStatusPrefix = 'status/wave/'

/** Time-out of calls to the machine service. */
const machineTimeoutMs = 1_500
const connections = 2

const adviceSchema = z.object({ good: z.array(z.tuple([z.string(), z.string()], z.unknown())) })
const machineSchema = z.object({ machine: z.string(), state: z.string(), id: z.optional(z.nullable(z.string())) })
const machinesSchema = z.object({ machines: z.array(machineSchema), nextToken: z.optional(z.nullable(z.string())) })
const waveSchema = z.object({ wave: z.int().check(z.nonnegative()), machines: z.array(z.string()), deadlineS: z.number().check(z.nonnegative()), cap: z.int().check(z.minimum(1)) })
const reasonSchema = z.object({ reason: z.optional(z.string()) })

const resultsByReason: Readonly<Record<string, MaintenanceResult>> = {
  fence: MaintenanceResult.StaleEpoch,
  busy: MaintenanceResult.Busy,
  wave: MaintenanceResult.NotInWave
}

/** Creates the client of the advice service. */
export function createAdviceClient (address: string): AdvicePort {
  const client = createHttpClient(address, 1)
  return { advise }

  async function advise (step: string, workerIds: readonly string[], timeoutMs: number): Promise<readonly { readonly workerId: string, readonly ticket: string }[]> {
    const response = await client.call({ method: 'POST', path: '/sassafrasford/advise', body: { step, workers: workerIds }, timeoutMs })
    const body = adviceSchema.safeParse(response.body)
    if (response.status !== 200 || !body.success) throw createError(ErrorKind.Overloaded, `the advice service answered with status ${response.status}`)
    return body.data.good.map(([workerId, ticket]) => ({ workerId, ticket }))
  }
}

/** Creates the client of the machine service. */
export function createMachineClient (address: string): MachinePort {
  const client = createHttpClient(address, connections)
  return { list, requestMaintenance }

  async function list (): Promise<readonly ListedMachine[]> {
    const machines: ListedMachine[] = []
    let token = ''
    do {
      const query = token === '' ? '' : `?pageToken=${encodeURIComponent(token)}`
      const response = await client.call({ method: 'GET', path: `/sassafrasford/machines${query}`, timeoutMs: machineTimeoutMs })
      const page = machinesSchema.safeParse(response.body)
      if (response.status !== 200 || !page.success) throw createError(ErrorKind.Overloaded, `the machine service answered with status ${response.status}`)
      machines.push(...page.data.machines.map(({ machine, state, id }) => ({ machineId: machine, isUp: state === 'up', workerId: id ?? undefined })))
      token = page.data.nextToken ?? ''
    } while (token !== '')
    return machines
  }

  async function requestMaintenance (machineId: string, wave: number, holder: string, epoch: number): Promise<MaintenanceResult> {
    const headers = { 'Duty-Holder': holder, 'Fence-Token': String(epoch) }
    const { status, body } = await client.call({ method: 'POST', path: '/sassafrasford/machine-upkeep', body: { machine: machineId, wave }, headers, timeoutMs: machineTimeoutMs })
    if (status >= 200 && status < 300) return MaintenanceResult.Done
    if (status === 409) return resultsByReason[reasonSchema.safeParse(body).data?.reason ?? ''] ?? MaintenanceResult.Busy
    if (status === 400) return MaintenanceResult.Invalid
    throw createError(ErrorKind.AnswerLost, `the machine service answered with status ${status}`)
  }
}

/** Decodes a wave; undefined if it is malformed. */
export function tryDecodeWave (value: string): Wave | undefined {
  const parsed = waveSchema.safeParse(tryParseJson(value))
  if (!parsed.success) return undefined
  const { wave, machines, deadlineS, cap } = parsed.data
  return { wave, machineIds: machines, deadlineMs: deadlineS * 1_000, maxDown: cap }
}

/** Encodes the state of a wave. */
export function encodeWaveStatus (isComplete: boolean): string {
  return JSON.stringify({ state: isComplete ? 'complete' : 'active' })
}
