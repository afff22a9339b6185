package org.guavahatch.daemon.settings

import kotlinx.serialization.Serializable
import org.guavahatch.model.check.ProblemCollector

/**
 * Settings of an entry instance.
 *
 * @property name name of the process, for logs and operators
 * @property deployment name of the deployment in the platform's instance list
 * @property zone availability zone of the process
 * @property host IP address on which callers are served, default 127.0.0.1
 * @property callerPort port for callers, 1 to 65535
 * @property adminPort port for health, readiness and metrics, 1 to 65535
 * @property platformUrl base URL of the platform services
 * @property sharedKeys keys that authenticate connections between processes: the first one signs, all are accepted;
 * 1 to 4 keys of at least 16 characters
 * @property platformTimeoutMilliseconds timeout for calls to the platform, 10 to 60 000, default 1000
 * @property configurationPollMilliseconds interval between polls of the accepted configuration, 100 to 10 000, default
 * 1000
 * @property instancePollMilliseconds interval between polls of the instance list, 100 to 10 000, default 1000
 * @property heartbeatMilliseconds interval between heartbeats on a connection, 10 to 1000, default 200
 * @property silenceMilliseconds time without a message after which a connection is replaced, at least three heartbeat
 * intervals, at most 60 000, default 1000
 * @property readinessMilliseconds how long a stopping process still accepts requests after its readiness check fails,
 * so that the load balancer can detect it, 0 to 60 000, default 1000
 * @property stopMilliseconds how long a stopping process waits for its requests to end, 0 to 3 600 000, default 120 000
 * @property maximumHeaderBytes maximum length of a header value from a caller, 16 to 8192, default 512
 */
@Serializable
internal data class EntrySettings(
    val name: String,
    val deployment: String,
    val zone: String,
    val host: String = "127.0.0.1",
    val callerPort: Int,
    val adminPort: Int,
    val platformUrl: String,
    val sharedKeys: List<String>,
    val platformTimeoutMilliseconds: Long = 1000,
    val configurationPollMilliseconds: Long = 1000,
    val instancePollMilliseconds: Long = 1000,
    val heartbeatMilliseconds: Long = 200,
    val silenceMilliseconds: Long = 1000,
    val readinessMilliseconds: Long = 1000,
    val stopMilliseconds: Long = 120_000,
    val maximumHeaderBytes: Int = 512,
) : CheckedSettings {
    override fun check(problems: ProblemCollector) {
        problems.requirePort("callerPort", callerPort)
        problems.requirePort("adminPort", adminPort)
        problems.requireUrl("platformUrl", platformUrl)
        problems.requireKeys("sharedKeys", sharedKeys)
        problems.requireRange("$.platformTimeoutMilliseconds", platformTimeoutMilliseconds, 10L..60_000L, "ms")
        problems.requireRange("$.configurationPollMilliseconds", configurationPollMilliseconds, 100L..10_000L, "ms")
        problems.requireRange("$.instancePollMilliseconds", instancePollMilliseconds, 100L..10_000L, "ms")
        problems.requireRange("$.heartbeatMilliseconds", heartbeatMilliseconds, 10L..1000L, "ms")
        problems.requireSilence(heartbeatMilliseconds, silenceMilliseconds)
        problems.requireRange("$.readinessMilliseconds", readinessMilliseconds, 0L..60_000L, "ms")
        problems.requireRange("$.stopMilliseconds", stopMilliseconds, 0L..3_600_000L, "ms")
        problems.requireRange("$.maximumHeaderBytes", maximumHeaderBytes.toLong(), 16L..8192L, "bytes")
    }
}
