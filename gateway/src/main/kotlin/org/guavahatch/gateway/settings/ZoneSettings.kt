package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Use of endpoints in other availability zones.
 *
 * @property preferOwn whether requests stay in the zone of their gateway unless leaving it pays off
 */
@Serializable
data class ZoneSettings(val preferOwn: Boolean = false)
