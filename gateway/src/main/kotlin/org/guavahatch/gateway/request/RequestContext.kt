package org.guavahatch.gateway.request

import io.netty.channel.EventLoop
import org.guavahatch.gateway.GatewayHeaders
import org.guavahatch.gateway.HeldBytes
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountLedger

/**
 * What every request of a gateway uses.
 *
 * @property loop thread of all decisions and connections
 * @property clock source of time
 * @property headers names of headers
 * @property connector connections to endpoints
 * @property ledger use of accounts
 * @property heldAnswers bytes of answers that are not whole yet
 * @property log decisions
 * @property metrics counters
 */
class RequestContext(
    val loop: EventLoop,
    val clock: Clock,
    val headers: GatewayHeaders,
    val connector: EndpointConnector,
    val ledger: AccountLedger,
    val heldAnswers: HeldBytes,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
) {
    val messages: EndpointRequests = EndpointRequests(headers)
}
