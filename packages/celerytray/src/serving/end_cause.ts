import type { ConnectionEnd } from "../http/index.ts";

/**
 * Why a request ended without a whole answer.
 *
 * The time is over: `caller-timeout`, `route-timeout`, `no-time` (too little is
 * left for another attempt). The caller's connection ended: see `CloseCause`.
 * No further attempt is allowed: `attempts`, `not-repeatable` (the route's retry
 * policy), `not-resumable` (an event without an id), `retry-budget`. None is
 * possible: `no-replica`, `no-target`, `full`, `backing-off`, `cold`, `limited`,
 * `excluded` (by an evacuation or home regions), `queue` (refused by admission),
 * `quarantine`, `gateway` (no other process serves it). This process ends it:
 * `refused` (before its body was read), `stop`, `fault`.
 */
export type EndCause =
  | CloseCause
  | "caller-timeout"
  | "route-timeout"
  | "no-time"
  | "attempts"
  | "not-repeatable"
  | "not-resumable"
  | "retry-budget"
  | "no-replica"
  | "no-target"
  | "full"
  | "backing-off"
  | "cold"
  | "limited"
  | "excluded"
  | "queue"
  | "quarantine"
  | "gateway"
  | "refused"
  | "stop"
  | "fault";

/**
 * How an attempt ended that brought no whole answer: it never got a connection
 * (`unreachable`); the instance rejected it (`rejected`), answered with an error
 * (`error`) or with what can't be passed on (`faulty`); its connection was lost
 * (`lost`), also while an order to close holds for its replica (`lost-closing`);
 * or this process moved it, as its replica stood still, was slow or is closed for
 * long (`moved-…`).
 */
export type AttemptEnd =
  | "unreachable"
  | "rejected"
  | "error"
  | "faulty"
  | "lost"
  | "lost-closing"
  | "moved-stalled"
  | "moved-slow"
  | "moved-closing";

/**
 * Why the connection to a caller closed before the end of an answer: by the
 * caller (`caller-left`), a failure of the connection (`connection-failed`), or
 * this process, whose causes are those of `closeConnection`, or
 * `closed-by-process` where it named none.
 */
export type CloseCause =
  | ConnectionEnd
  | "caller-left"
  | "connection-failed"
  | "closed-by-process";
