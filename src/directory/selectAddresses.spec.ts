import { describe, it } from 'node:test';

import { expect } from 'earl';

import type { DaemonEntry } from '../sync/FleetStore.js';
import { selectAddresses } from './selectAddresses.js';

function daemonOf(name: string, dataCentre: string) {
  const port = name.charCodeAt(0);
  const address = `10.0.0.1:${port}`;
  return { name, dataCentre, callerAddress: address, peerAddress: address, newsAddress: address };
}

const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e', 'f'];

const CALLERS_PER_DATA_CENTRE = 30;

function fleetOf(size: number): DaemonEntry[] {
  return Array.from({ length: size }, (_, index) => {
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
    const address = `10.0.${Math.floor(index / 250)}.${1 + (index % 250)}:8000`;
    const addresses = { callerAddress: address, peerAddress: address, newsAddress: address };
    return { name: `daemon-${index}`, dataCentre, ...addresses };
  });
}

/** Smallest and largest load of a daemon relative to the mean, with equally many callers in each data centre. */
function loadExtremes(daemons: readonly DaemonEntry[]): { least: number; most: number } {
  const shares = new Map<string, number>();
  for (const dataCentre of DATA_CENTRES) {
    for (let index = 0; index < CALLERS_PER_DATA_CENTRE; index += 1) {
      const caller = `10.9.${dataCentre}.${index}`;
      const addresses = selectAddresses({ daemons, own: undefined, dataCentre, caller });
      for (const address of addresses) {
        shares.set(address, (shares.get(address) ?? 0) + 1 / addresses.length);
      }
    }
  }
  const mean = (DATA_CENTRES.length * CALLERS_PER_DATA_CENTRE) / daemons.length;
  const all = daemons.map(({ callerAddress }) => (shares.get(callerAddress) ?? 0) / mean);
  return { least: Math.min(...all), most: Math.max(...all) };
}

describe('addresses in a large fleet', () => {
  it('spread callers evenly over all daemons', () => {
    // Guards against some daemons of a large fleet with three times the requests of others, and against requests that enter
    // far from their caller. Of 195 listed daemons, each answer held those of the caller's data centre and filled up to 64
    // with the first of the others, which were the same for all callers. The last three sizes had 0.3 to 1.6, 0.5 to 3.1
    // and 0 to 1.0 times the mean then, and have 0.8 to 1.2, 0.8 to 1.3 and 0.6 to 1.3 now.
    const sizes = [9, 30, 100, 195, 390];
    const shares = sizes.map((size) => loadExtremes(fleetOf(size)));
    expect(shares.filter(({ least, most }) => least < 0.5 || most > 1.5)).toEqual([]);
  });

  it('include some in other data centres, in case all in the caller’s own are lost', () => {
    const addresses = selectAddresses({ daemons: fleetOf(195), own: undefined, dataCentre: 'a' });
    expect([addresses.length, new Set(addresses).size]).toEqual([33 + 16, 33 + 16]);
    const many = selectAddresses({ daemons: fleetOf(390), own: undefined, dataCentre: 'a' });
    expect(many.length).toEqual(64);
  });

  it('change only for a daemon that leaves and its replacement, and are the same at each daemon', () => {
    // Guards against cut streams: callers close open connections to addresses that a new answer no longer contains.
    const daemons = fleetOf(195);
    const ask = (listed: readonly DaemonEntry[], own?: DaemonEntry) =>
      selectAddresses({ daemons: listed, own, dataCentre: 'b', caller: '10.9.0.1' });
    const before = ask(daemons);
    expect(ask([...daemons].reverse(), daemons[7]).sort()).toEqual([...before].sort());
    for (const gone of daemons) {
      const after = new Set(ask(daemons.filter((daemon) => daemon !== gone)));
      const lost = before.filter((address) => !after.has(address));
      expect(lost.filter((address) => address !== gone.callerAddress)).toEqual([]);
    }
  });
});

describe('selectAddresses', () => {
  const daemons = [daemonOf('a', 'north'), daemonOf('b', 'south')];

  it('returns all daemons, those of the caller’s data centre first', () => {
    const question = { daemons, own: daemonOf('c', 'south'), dataCentre: 'south' };
    expect(selectAddresses(question)).toEqual(['10.0.0.1:99', '10.0.0.1:98', '10.0.0.1:97']);
  });

  it('contains this daemon once, and not while it stops', () => {
    const own = daemonOf('a', 'north');
    expect(selectAddresses({ daemons, own, dataCentre: undefined }).length).toEqual(2);
    const others = daemons.slice(1);
    expect(selectAddresses({ daemons: others, own: undefined, dataCentre: 'north' })).toEqual([
      '10.0.0.1:98',
    ]);
  });
});

describe('addresses for a host with home regions', () => {
  const REGIONS: Readonly<Record<string, string>> = { a: 'north', b: 'south', c: 'west' };
  const regionOf = (dataCentre: string) => REGIONS[dataCentre];
  const daemons = Object.keys(REGIONS).flatMap((place) => [
    daemonOf(`${place}1`, place),
    daemonOf(`${place}2`, place),
  ]);
  const portOf = (place: string) => `10.0.0.1:${place.charCodeAt(0)}`;

  function placesFor(homeRegions: readonly string[] | undefined, region: string): string[] {
    const question = { daemons, own: undefined, dataCentre: undefined, regionOf };
    const addresses = selectAddresses({ ...question, homeRegions, region });
    return Object.keys(REGIONS).filter((place) => addresses.includes(portOf(place)));
  }

  it('are those in the home regions and in the caller’s region', () => {
    expect(placesFor(['north'], 'west')).toEqual(['a', 'c']);
    expect(placesFor(['north'], 'north')).toEqual(['a']);
    expect(placesFor(undefined, 'west')).toEqual(['a', 'b', 'c']);
  });

  it('are those of all daemons if none is in either', () => {
    // Guards against an empty answer, with which the caller could not even learn that no home region has a runner.
    expect(placesFor(['elsewhere'], 'nowhere')).toEqual(['a', 'b', 'c']);
  });
});
