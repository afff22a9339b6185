package org.guavahatch.gateway.request

import io.netty.channel.EventLoop
import org.guavahatch.gateway.ByteBudget
import org.guavahatch.gateway.GatewayHeaders
import org.guavahatch.gateway.control.QuarantineControl
import org.guavahatch.gateway.control.RolloutControl
import org.guavahatch.gateway.endpoint.EndpointConnector
import org.guavahatch.gateway.endpoint.ProcessEndDetector
import org.guavahatch.gateway.observation.DecisionLog
import org.guavahatch.gateway.observation.GatewayMetrics
import org.guavahatch.model.time.Clock
import org.guavahatch.scheduling.direct.AccountLedger

/**
 * Components shared by all requests of a gateway.
 *
 * @property loop event loop of all decisions and connections
 * @property clock source of time
 * @property headers header names of the deployment
 * @property connector opens and pools connections to endpoints
 * @property quarantine requests that must not be sent because their prompts end endpoints
 * @property rollouts rollouts, which limit the sends to a version and judge its answers
 * @property ledger quota use of client accounts
 * @property permissions what accepted requests may still do
 * @property bufferedResponses budget for the bytes of incomplete responses
 * @property log decision log
 * @property metrics counters and histograms
 * @property zone availability zone of the gateway
 */
class RequestContext(
    val loop: EventLoop,
    val clock: Clock,
    val headers: GatewayHeaders,
    val connector: EndpointConnector,
    val quarantine: QuarantineControl,
    val rollouts: RolloutControl,
    val ledger: AccountLedger,
    val permissions: RequestPermissions,
    val bufferedResponses: ByteBudget,
    val log: DecisionLog,
    val metrics: GatewayMetrics,
    val zone: String = "",
) {
    /** Detects endpoints whose process has ended. */
    val processEnds: ProcessEndDetector = ProcessEndDetector(connector, clock)

    /** Builds the messages that are forwarded between callers and endpoints. */
    val messages: ForwardedMessages = ForwardedMessages(headers)
}
