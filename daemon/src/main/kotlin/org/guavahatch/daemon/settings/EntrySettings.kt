package org.guavahatch.daemon.settings

import kotlinx.serialization.Serializable
import org.guavahatch.model.check.ProblemCollector

/**
 * Settings of an entry instance.
 *
 * @property name name of the process, for logs and operators
 * @property deployment name of the deployment, as the platform's instance list has it
 * @property zone availability zone of the process
 * @property host IP number on which callers are served, default 127.0.0.1
 * @property callerPort port for callers, 1 to 65535
 * @property adminPort port for health, readiness and metrics, 1 to 65535
 * @property platformUrl address of the platform's services
 * @property sharedKeys keys of the connections between processes: the first one signs, all are accepted; 1 to 4 of at
 * least 16 characters
 * @property platformTimeoutMilliseconds longest wait for an answer of the platform, 10 to 60 000, default 1000
 * @property configurationPollMilliseconds pause between looks at the accepted configuration, 100 to 10 000, default
 * 1000
 * @property instancePollMilliseconds pause between looks at the instance list, 100 to 10 000, default 1000
 * @property heartbeatMilliseconds pause between heartbeats on a connection, 10 to 1000, default 200
 * @property silenceMilliseconds silence after which a connection is replaced, at least three heartbeats, default 1000
 * @property readinessMilliseconds how long a stopping process still takes requests after readiness has failed, so that
 * the balancer can take notice, 0 to 60 000, default 1000
 * @property stopMilliseconds how long a stopping process waits for the last request, 0 to 3 600 000, default 120 000
 * @property maximumHeaderBytes longest header value of a caller that is looked at, 16 to 8192, default 512
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
