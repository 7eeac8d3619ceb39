/**
 * The software version of one request's stream: found before a caller's stream is taken up, and recorded where a new one
 * begins.
 */
import type { AdmittedRequest } from '../forwarding/forwardingTypes.js';
import type { StreamedAnswer } from '../forwarding/StreamedAnswer.js';
import type { Runner } from '../runners/Runner.js';
import type { StreamName } from './streamKey.js';
import type { StreamVersionTask } from './StreamVersionTask.js';
import type { TakeUpResult } from './streamVersionTaskTypes.js';

/** Options of a {@link StreamVersionSession}. */
export interface StreamVersionSessionOptions {
  request: AdmittedRequest;
  /** Without it, a stream is bound within one answer only. */
  task: Pick<StreamVersionTask, 'begin' | 'end' | 'find'> | undefined;
  stream: StreamedAnswer;
}

/** Follows one request. */
export class StreamVersionSession {
  private readonly options: StreamVersionSessionOptions;

  /** The stream, if it may be taken up later; it keeps the id of the attempt that it began with. */
  private readonly name: StreamName | undefined;

  /** The version that was recorded last. */
  private recorded: string | undefined;

  /** Runner that supplies the stream, or did until it broke off, if its version is in doubt. */
  private doubted: Runner | undefined;

  /** Key of the stream, once it has been recorded. */
  private key: bigint | undefined;

  /**
   * @param options - the request and its answer.
   */
  constructor(options: StreamVersionSessionOptions) {
    const { service, clientAccount, route, takesUp, id, hasOwnId } = options.request;
    this.options = options;
    const firstId = takesUp ? takesUp.id : id;
    const mayBeTakenUp = route.kind === 'stream' && route.resumable && hasOwnId;
    if (mayBeTakenUp && firstId !== undefined) this.name = { service, clientAccount, id: firstId };
  }

  /** @returns Whether the version of the runner matters, because the stream may be taken up elsewhere. */
  get needsVersion(): boolean {
    return this.name !== undefined;
  }

  /** @returns Whether the version has to be found before the request is sent. */
  get isUnknown(): boolean {
    const { request, task, stream } = this.options;
    return task !== undefined && request.takesUp !== undefined && !stream.isBound;
  }

  /**
   * Finds the version and binds the stream to it.
   *
   * @param done - called once, with the version if it is known, or else when it may be.
   */
  resolve(done: (result: TakeUpResult) => void): void {
    const { request, task, stream } = this.options;
    const { service, clientAccount, takesUp } = request;
    const name = { service, clientAccount, id: takesUp?.id ?? '' };
    const promptPart = request.work?.parts.at(-1)?.id;
    task?.find({ ...name, request: request.id, promptPart }, (result) => {
      if (result.softwareVersion !== undefined) stream.bindTo(result.softwareVersion);
      done(result);
    });
  }

  /**
   * Follows the version of the runner that answers. While it may have started again, the stream is bound to its life: its
   * events are from one version, which is not known yet.
   *
   * @param runner - runner that has begun to answer.
   * @param connectedAt - when the connection to it was opened, monotonic ms.
   * @returns Returns the version of the runner; `undefined` as long as it is in doubt.
   */
  versionAt(runner: Runner, connectedAt: number): () => string | undefined {
    const { restart } = runner;
    const isInDoubt = restart.isSuspected;
    // A later doubt does not concern a connection that has certainly reached the life of the entry.
    const settledVersion = () =>
      restart.isSuspected && restart.isSameLifeAt(connectedAt)
        ? runner.softwareVersion
        : runner.settledVersion;
    return () => {
      const version = isInDoubt ? settledVersion() : runner.answeringVersion;
      this.doubted = version === undefined ? runner : undefined;
      return version;
    };
  }

  /**
   * Binds the stream to the version of its events, if that is known by now.
   *
   * @returns Whether the stream may go on at another runner: at that version, or at any if it has no events yet.
   */
  settle(): boolean {
    const { doubted, options } = this;
    if (options.stream.lastEventId === undefined) return true;
    // Without a version, events are from a runner that is in doubt at the daemon that the request was handed over to.
    if (!doubted) return options.stream.isBound;
    const version = doubted.settledVersion;
    if (version === undefined) return false;
    options.stream.bindTo(version);
    this.doubted = undefined;
    return true;
  }

  /**
   * Records the version at which the stream begins or goes on, unless it is in doubt.
   *
   * @param runner - runner that the request is sent to, or that has sent an event.
   */
  record(runner: Runner): void {
    const { task, stream } = this.options;
    if (!stream.isBound && runner.restart.isSuspected && !runner.successor) return;
    const softwareVersion = stream.softwareVersion ?? runner.answeringVersion;
    if (!this.name || this.recorded === softwareVersion) return;
    this.recorded = softwareVersion;
    this.key = task?.begin(this.name, softwareVersion);
  }

  /** The request is over. */
  end(): void {
    if (this.key !== undefined) this.options.task?.end(this.key);
  }
}
