package org.guavahatch.daemon.settings

import kotlinx.serialization.Serializable
import org.guavahatch.model.check.ProblemCollector

/**
 * Settings of a sidecar.
 *
 * @property name name of the endpoint that the sidecar serves
 * @property pool pool of the endpoint
 * @property zone availability zone of the process
 * @property host IP address on which entry instances connect, default 127.0.0.1
 * @property innerPort port for entry instances, 1 to 65535
 * @property adminPort port for health, readiness and metrics, 1 to 65535
 * @property endpointUrl base URL of the endpoint
 * @property echoesRequestId whether the endpoint returns the header `X-Request-Id` in its responses, default true;
 * a response that belongs to another request can be detected only if it does
 * @property platformUrl base URL of the platform services
 * @property sharedKeys keys that authenticate connections between processes: the first one signs, all are accepted;
 * 1 to 4 keys of at least 16 characters
 * @property platformTimeoutMilliseconds timeout for calls to the platform, 10 to 60 000, default 1000
 * @property configurationPollMilliseconds interval between polls of the accepted configuration, 100 to 10 000, default
 * 2000
 * @property heartbeatMilliseconds interval between heartbeats on a connection, 10 to 1000, default 200
 * @property silenceMilliseconds time without a message after which a connection is replaced, at least three heartbeat
 * intervals, at most 60 000, default 1000
 * @property stopMilliseconds how long a stopping process waits for its requests to end, 0 to 3 600 000, default 120 000
 * @property answerWindowBytes number of unacknowledged bytes of an answer from which on the sidecar stops reading from
 * the endpoint, 4096 to 16 777 216, default 1 048 576
 */
@Serializable
internal data class SidecarSettings(
    val name: String,
    val pool: String,
    val zone: String,
    val host: String = "127.0.0.1",
    val innerPort: Int,
    val adminPort: Int,
    val endpointUrl: String,
    val echoesRequestId: Boolean = true,
    val platformUrl: String,
    val sharedKeys: List<String>,
    val platformTimeoutMilliseconds: Long = 1000,
    val configurationPollMilliseconds: Long = 2000,
    val heartbeatMilliseconds: Long = 200,
    val silenceMilliseconds: Long = 1000,
    val stopMilliseconds: Long = 120_000,
    val answerWindowBytes: Int = 1_048_576,
) : CheckedSettings {
    override fun check(problems: ProblemCollector) {
        problems.requirePort("innerPort", innerPort)
        problems.requirePort("adminPort", adminPort)
        problems.requireUrl("endpointUrl", endpointUrl)
        problems.requireUrl("platformUrl", platformUrl)
        problems.requireKeys("sharedKeys", sharedKeys)
        problems.requireRange("$.platformTimeoutMilliseconds", platformTimeoutMilliseconds, 10L..60_000L, "ms")
        problems.requireRange("$.configurationPollMilliseconds", configurationPollMilliseconds, 100L..10_000L, "ms")
        problems.requireRange("$.heartbeatMilliseconds", heartbeatMilliseconds, 10L..1000L, "ms")
        problems.requireSilence(heartbeatMilliseconds, silenceMilliseconds)
        problems.requireRange("$.stopMilliseconds", stopMilliseconds, 0L..3_600_000L, "ms")
        problems.requireRange("$.answerWindowBytes", answerWindowBytes.toLong(), 4096L..16_777_216L, "bytes")
    }
}
