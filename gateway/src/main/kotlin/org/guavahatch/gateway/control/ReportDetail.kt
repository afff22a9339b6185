package org.guavahatch.gateway.control

/** What a report to the peers tells of the use of client accounts. */
enum class ReportDetail {
    /** Nothing. */
    LOAD,

    /** The use of the accounts that has changed since the last [COMPLETE] report. */
    CHANGES,

    /** The use and the levels of all accounts. */
    COMPLETE,
}
