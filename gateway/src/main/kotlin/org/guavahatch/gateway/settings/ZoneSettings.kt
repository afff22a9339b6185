package org.guavahatch.gateway.settings

import kotlinx.serialization.Serializable

/**
 * Use of endpoints in other availability zones.
 *
 * @property preferOwn whether requests stay in the zone of their gateway unless leaving it pays off
 * @property waitMillisecondsPerMegabyte how long a caller may wait to keep a million bytes in its zone, 0 or more; with
 * 0, a request leaves at once when its zone has no free slot and another one has slots to spare
 */
@Serializable
data class ZoneSettings(val preferOwn: Boolean = false, val waitMillisecondsPerMegabyte: Double = 0.0) {
    init {
        require(waitMillisecondsPerMegabyte >= 0) {
            "zones.waitMillisecondsPerMegabyte: $waitMillisecondsPerMegabyte is negative"
        }
    }
}
