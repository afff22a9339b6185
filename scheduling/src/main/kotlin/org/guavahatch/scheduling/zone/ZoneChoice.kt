package org.guavahatch.scheduling.zone

import org.guavahatch.scheduling.direct.EndpointState
import org.guavahatch.scheduling.direct.WaitingRequest

/**
 * A request and the endpoint to send it to.
 *
 * @property request the request
 * @property endpoint the endpoint
 * @property reason why the request leaves the zone of its gateway, or null if it stays
 */
public class ZoneChoice(
    public val request: WaitingRequest,
    public val endpoint: EndpointState,
    public val reason: OtherZoneReason?,
)

/**
 * Why a request leaves the zone of its gateway.
 *
 * @property text the reason as it is logged
 */
public enum class OtherZoneReason(public val text: String) {
    /** The zone has no usable endpoint of the pool. */
    NO_ENDPOINT("no-endpoint"),

    /** The zone has no slot for the request, and it has waited as long as its bytes are worth. */
    FULL("full"),

    /** All endpoints of the zone with a free slot would miss the objective of the request. */
    TOO_SLOW("too-slow"),

    /** All endpoints of the zone with a free slot would make the stream pause for longer than its objective. */
    PAUSES("pauses"),

    /** The stream was interrupted, and its caller waits for the next event. */
    INTERRUPTED("interrupted"),
}
