package org.guavahatch.scheduling.direct

/**
 * What a gateway that relays the store tells its peers.
 *
 * @property zone zone of its instance
 * @property versions version up to which it follows each table of the store
 */
public data class RelayReport(public val zone: String, public val versions: Map<String, Long>)
