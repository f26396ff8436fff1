/** Decodes the text of a configuration for the check: as the hosts do, with the positions of its entries. */
import { findJsonPositions } from '../common/jsonPositions.js'
import type { JsonPath } from '../common/jsonPositions.js'
import type { ConfigurationDocument, ConfigurationEntry } from '../configuration/configurationCheck.js'
import { createDiagnostic, diagnosticMessages } from '../errors/diagnostics.js'
import { decodeParsedConfiguration } from './platformConfiguration.js'

/** The members of the stored configuration that hold the fields on which the check reports. */
const queuePaths = {
  name: ['name'], hostName: ['host'], pathPrefix: ['prefix'], attempts: ['attempts'], objectiveFactor: ['sloFactor'], timeoutMs: ['timeoutMs']
} as const
const organisationPaths = { name: ['name'], keys: ['keys'], guaranteedAccelerators: ['guaranteed', 'gpu'] } as const
const bodyLimitPath = ['limits', 'maxBodyBytes'] as const

/** Decodes a text. */
export function decodeConfigurationDocument (text: string): ConfigurationDocument {
  const positions = findJsonPositions(text)
  if (positions.error !== undefined) {
    const { message, position } = positions.error
    return { errors: [createDiagnostic(diagnosticMessages.badJson, [message], position.line, position.column)], warnings: [], locate: () => position }
  }
  const { configuration, issues } = decodeParsedConfiguration(JSON.parse(text))
  return {
    configuration,
    errors: issues.map(({ path, expected }) => {
      const { line, column } = positions.locate(path)
      return createDiagnostic(diagnosticMessages.badEntry, [path.join('.') || '(top level)', expected], line, column)
    }),
    warnings: positions.duplicates.map(({ name, position }) => createDiagnostic(diagnosticMessages.duplicateMember, [name], position.line, position.column)),
    locate: entry => positions.locate(getPath(entry))
  }
}

function getPath (entry: ConfigurationEntry): JsonPath {
  if ('queue' in entry) return ['routes', entry.queue, ...queuePaths[entry.field]]
  if ('organisation' in entry) return ['tenants', entry.organisation, ...organisationPaths[entry.field], ...(entry.key === undefined ? [] : [entry.key])]
  switch (entry.field) {
    case 'queues': return ['routes']
    case 'bodyLimit': return bodyLimitPath
    case 'version': return ['version']
  }
}
