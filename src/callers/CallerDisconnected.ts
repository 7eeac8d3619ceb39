/**
 * Error that is thrown when an answer can no longer reach its caller.
 */
import VError from 'verror';

/** The caller's connection ended, or was closed because the caller stopped reading; no answer can be sent. */
export class CallerDisconnected extends VError {
  constructor() {
    super({ name: 'CallerGone' }, 'the caller is gone');
  }
}
